//! Starts the project's own programs as separate processes on loopback addresses, with the commands
//! of the deploy file, and signals them.

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::http;

pub const PEER_PORT: u16 = 7780;
pub const CONTROL_PORT: u16 = 8367;
pub const FRONT_PORT: u16 = 8368;
pub const READY_PORT: u16 = 8369;
pub const LIST_PORT: u16 = 8362;
pub const SERVER_PORT: u16 = 8080;
pub const ZONES: [&str; 2] = ["z1", "z2"];

pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub cores: Vec<Machine>,
    pub stores: Vec<Machine>,
    pub fronts: Vec<Machine>,
    pub subnet: [u8; 3],
    dir: PathBuf,
}

/// A loopback network that nobody uses.
pub fn free_subnet() -> [u8; 3] {
    let seed = std::process::id();
    for n in 0..200u32 {
        let subnet = [127, 200 + (seed % 50) as u8, ((seed / 50 + n) % 250) as u8 + 1];
        let ip = |m: u8| Ipv4Addr::new(subnet[0], subnet[1], subnet[2], m);
        let probes = [(ip(1), LIST_PORT), (ip(10), CONTROL_PORT), (ip(30), FRONT_PORT)];
        if probes.iter().all(|p| TcpListener::bind(*p).is_ok()) {
            return subnet;
        }
    }
    crate::cannot_run("no free loopback network")
}

impl Fleet {
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.subnet[0], self.subnet[1], self.subnet[2], machine)
    }

    pub fn list_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip(1), LIST_PORT))
    }

    pub fn new(subnet: [u8; 3]) -> Self {
        let dir = std::env::temp_dir().join(format!("poplarspan-review-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap_or_else(|e| crate::cannot_run(&format!("folder: {e}")));
        Self { cores: Vec::new(), stores: Vec::new(), fronts: Vec::new(), subnet, dir }
    }

    /// Starts all machines. Zones alternate.
    pub fn start(&mut self, cores: u8, stores: u8, fronts: u8) {
        for n in 0..cores {
            let machine = self.machine("core", 10 + n, n);
            self.cores.push(machine);
        }
        for n in 0..stores {
            let machine = self.machine("storage", 20 + n, n);
            self.stores.push(machine);
        }
        for n in 0..fronts {
            let machine = self.machine("front", 30 + n, n);
            self.fronts.push(machine);
        }
        for machine in self.cores.iter_mut().chain(&mut self.stores).chain(&mut self.fronts) {
            machine.start();
        }
    }

    fn machine(&self, class: &str, number: u8, n: u8) -> Machine {
        let zone = ZONES[usize::from(n) % ZONES.len()];
        let name = format!("{class}-{zone}-{number}");
        let ip = self.ip(number);
        let seeds: Vec<_> = (10..13).map(|n| format!("\"{}:{CONTROL_PORT}\"", self.ip(n))).collect();
        let (serves, listen, limits) = match class {
            "front" => (
                "front",
                format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n"),
                "cpuShare = 0.25\ncpuSpeedup = 1\nmemoryMb = 110\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n",
            ),
            "core" => (
                "control",
                format!("control = \"{ip}:{CONTROL_PORT}\"\n"),
                "cpuShare = 0.6\ncpuSpeedup = 1\nmemoryMb = 256\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n",
            ),
            _ => (
                "storage",
                String::new(),
                "cpuShare = 0.5\ncpuSpeedup = 1\nmemoryMb = 120\nmaxFds = 8200\nlinkMbps = 600.0\ndiskMb = 260\n",
            ),
        };
        let data = match class {
            "front" => String::new(),
            _ => {
                let data = self.dir.join(&name);
                fs::create_dir_all(&data).expect("a folder in the temporary folder");
                format!("dataDir = \"{}\"\n", data.display())
            }
        };
        let text = format!(
            "node = \"{name}\"\nrole = \"{serves}\"\nclass = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\nportRange = [{PEER_PORT}, {last}]\n\
             seeds = [{seeds}]\nbootstrap = true\nlossCounts = {counts}\ndiscovery = \"cloud\"\n\
             entry = \"vip\"\nheartbeatMs = 1200\nmode = \"highest\"\n\
             contracts = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"agent\", \"stream\", \"engine\", \"tenants\", \"quota\", \"places\"]\n\
             {data}[zones]\nz1 = \"r\"\nz2 = \"r\"\n[listen]\n{listen}[limits]\n{limits}\
             [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\naddrReuseS = 2\nstableWindowMs = 3000\nackMs = 4000\n\
             catchupS = 4\ndrainMs = 3000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
             rollbackSlackMs = 250\nmaxSkewMs = 5000\nrevokeStrict = true\nrevokeMs = 5000\n\
             quotaWindowS = 5\nquotaExcess = 0.1\nquotaSlack = 20\ncoldExcess = 1.5\ncoldSlack = 5\n\
             evacMs = 5000\nrecoverS = 12\ndeliverySlackMs = 120\nretryAfterS = 0\ndeadlineS = 10\n\
             settleMs = 1000\n\
             [cloud]\naddress = \"{list}\"\nratePerS = 44.0\nduties = []\nmaxLagMs = 800\n",
            last = PEER_PORT + 15,
            seeds = seeds.join(", "),
            counts = class != "front",
            list = self.list_address(),
        );
        let settings = self.dir.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("a file in the temporary folder");
        let log = self.dir.join(format!("{name}.log"));
        Machine { name, ip, settings, log, child: None }
    }

    /// Waits until all fronts report that they are ready.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(30);
        for front in &self.fronts {
            let address = SocketAddr::from((front.ip, READY_PORT));
            loop {
                let answer = http::get(address, "/-/ready", Duration::from_secs(1));
                if answer.is_some_and(|a| a.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    crate::cannot_run(&format!("{} is not ready after 30 s", front.name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Index of the core machine that last logged that it leads. The choice of a target only.
    pub fn leading_core(&self) -> usize {
        let term = |machine: &Machine| -> u64 {
            let text = fs::read_to_string(&machine.log).unwrap_or_default();
            let lines = text.lines().filter(|l| l.contains("this replica leads the control group"));
            let terms = lines.filter_map(|l| {
                let rest = &l[l.find("\"term\":")? + 7..];
                rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
            });
            terms.max().unwrap_or(0)
        };
        (0..self.cores.len()).max_by_key(|n| term(&self.cores[*n])).expect("core machines")
    }

    /// Sends an order to the core machines in turn, as the operator of the pages does: it moves on
    /// after a failure, a 5xx, a 408 or 429, or a second without a response. Returns the status and
    /// when the answer came.
    pub fn order(&self, method: &str, path: &str, body: &str) -> (u16, Instant) {
        let until = Instant::now() + Duration::from_secs(20);
        for n in 0.. {
            let core = &self.cores[n % self.cores.len()];
            let address = SocketAddr::from((core.ip, CONTROL_PORT));
            let headers = [("Content-Type", "application/json")];
            let host = address.to_string();
            let answer =
                http::send(address, method, path, &host, &headers, body.as_bytes(), Duration::from_secs(1));
            if let Some(answer) = answer
                && answer.status < 500
                && ![408, 429].contains(&answer.status)
            {
                return (answer.status, Instant::now());
            }
            if Instant::now() > until {
                crate::cannot_run(&format!("no answer to {method} {path} in 20 s"));
            }
            std::thread::sleep(Duration::from_millis(50 + 20 * n as u64));
        }
        unreachable!()
    }

    /// Ends all processes and removes the folder.
    pub fn end(&mut self) {
        for machine in self.cores.iter_mut().chain(&mut self.stores).chain(&mut self.fronts) {
            machine.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Machine {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let copy = log.try_clone().expect("a log file");
        let tls = Path::new("target/tls");
        let child = Command::new("target/release/poplarspan")
            .arg("node")
            .arg("--tls-authority")
            .arg(tls.join("authority.pem"))
            .arg("--tls-certificate")
            .arg(tls.join("instance.pem"))
            .arg("--tls-key")
            .arg(tls.join("instance.key"))
            .env("POPLARSPAN_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn()
            .unwrap_or_else(|e| crate::cannot_run(&format!("cannot start the program: {e}")));
        PIDS.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PIDS.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Starts the process again with its disk, as after a kill.
    pub fn restart(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("settings");
        fs::write(&self.settings, text.replace("bootstrap = true", "bootstrap = false")).expect("settings");
        self.start();
    }
}

static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that were started, before this program exits early.
pub fn end_processes() {
    for pid in PIDS.lock().unwrap().drain(..) {
        let _ = Command::new("sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
    }
}

pub struct Record(Mutex<File>, Instant);

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|e| crate::cannot_run(&format!("{path}: {e}")));
        Self(Mutex::new(file), Instant::now())
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.1).as_secs_f64();
        let _ = writeln!(self.0.lock().unwrap(), "{seconds:9.3} {text}");
    }
}
