//! Object files for tests.

use std::{fmt::Write, net::SocketAddr};

use poplarspan::objects::{Secret, generate_secret};

/// Contents of an object file, and the secrets whose digests it holds.
pub struct ObjectFile {
    team: Secret,
    second: Secret,
    operator: Secret,
    endpoints: Vec<EndpointEntry>,
    /// Zones with `state = "out"`.
    pub zones_out: Vec<String>,
    /// Whether the key of the first team is left out.
    pub withdrawn: bool,
    /// Rate in calls per second and burst in calls of the first team.
    pub rate: (u32, u32),
    /// Token budget of each program.
    pub budget_tokens: u64,
    /// Configured capacity of each endpoint, in concurrent calls.
    pub capacity: u32,
    /// Text appended to the file.
    pub extra: String,
}

struct EndpointEntry {
    name: String,
    kind: &'static str,
    address: SocketAddr,
    leaving: bool,
}

impl ObjectFile {
    pub fn new() -> Self {
        let secret = || generate_secret().expect("failed to get random bytes");
        Self {
            team: secret(),
            second: secret(),
            operator: secret(),
            endpoints: Vec::new(),
            zones_out: Vec::new(),
            withdrawn: false,
            rate: (500, 500),
            budget_tokens: 100_000,
            capacity: 64,
            extra: String::new(),
        }
    }

    pub fn add_endpoint(&mut self, name: &str, kind: &'static str, address: SocketAddr) {
        let name = name.to_owned();
        self.endpoints.push(EndpointEntry { name, kind, address, leaving: false });
    }

    pub fn set_leaving(&mut self, name: &str, leaving: bool) {
        let found = self.endpoints.iter_mut().find(|e| e.name == name);
        found.expect("unknown endpoint").leaving = leaving;
    }

    pub fn team_key(&self) -> &str {
        self.team.expose()
    }

    pub fn second_key(&self) -> &str {
        self.second.expose()
    }

    pub fn operator_key(&self) -> &str {
        self.operator.expose()
    }

    /// Returns the file as TOML.
    pub fn text(&self) -> String {
        let mut text = String::from("format = 1\n");
        for zone in ["zone-1", "zone-2", "zone-3"] {
            let state = if self.zones_out.iter().any(|z| z == zone) { "out" } else { "in" };
            let _ = write!(text, "[[zone]]\nname = \"{zone}\"\nstate = \"{state}\"\n");
        }
        let (rate, burst) = self.rate;
        let _ = write!(
            text,
            "[[rate]]\nname = \"first\"\nrate = \"{rate}/s\"\nburst = {burst}\n\
             [[rate]]\nname = \"second\"\nrate = \"500/s\"\nburst = 500\n\
             [[budget]]\nname = \"program\"\ntokens = {}\nturns = 64\nlifetime = \"1h\"\n\
             [[team]]\nname = \"team-a\"\nrate = \"first\"\nbudget = \"program\"\n\
             [[team]]\nname = \"team-b\"\nrate = \"second\"\n\
             [[key]]\nname = \"b\"\nteam = \"team-b\"\ndigest = \"{}\"\n\
             [[operator]]\nname = \"operator\"\ndigest = \"{}\"\n",
            self.budget_tokens,
            self.second.digest(),
            self.operator.digest(),
        );
        if !self.withdrawn {
            let digest = self.team.digest();
            let _ =
                write!(text, "[[key]]\nname = \"a\"\nteam = \"team-a\"\ndigest = \"{digest}\"\n");
        }
        self.write_endpoints(&mut text);
        text + &self.extra
    }

    fn write_endpoints(&self, text: &mut String) {
        text.push_str(
            "[[model]]\nname = \"chat-model\"\nmax_context = 100000\nmax_output = 4096\n\
             version = \"1\"\n\
             [[route]]\nname = \"chat\"\npath = \"/v1/chat/completions\"\nkind = \"chat\"\n\
             timeout = \"60s\"\n",
        );
        for (i, e) in self.endpoints.iter().enumerate() {
            let serves = match e.kind {
                "engine" => "models = [\"chat-model\"]",
                _ => "service = \"orders\"",
            };
            let _ = write!(
                text,
                "[[endpoint]]\nname = \"{}\"\nzone = \"zone-{}\"\naddress = \"{}\"\n{serves}\n\
                 capacity = {}\nleaving = {}\n",
                e.name,
                i % 3 + 1,
                e.address,
                self.capacity,
                e.leaving,
            );
        }
        if self.endpoints.iter().any(|e| e.kind == "service") {
            text.push_str(
                "[[route]]\nname = \"orders\"\npath = \"/orders\"\nkind = \"service\"\n\
                 service = \"orders\"\nnon_idempotent = [\"POST\"]\ntimeout = \"20s\"\n",
            );
        }
    }
}
