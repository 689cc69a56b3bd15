//! A small deployment of the project's own program on loopback addresses: settings files as
//! DEPLOY.md shows them, one process a machine, started with the command of the deploy file, and the
//! platform's list of servers.

use std::{
    fs,
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

pub const CONTROL_PORT: u16 = 8367;
pub const FRONT_PORT: u16 = 8368;
pub const READY_PORT: u16 = 8369;
pub const SERVER_PORT: u16 = 8080;
const GUARD: u8 = 250;

/// The bounds of the small installations.
pub const SMALL_BOUNDS: &str = "seedLagS = 3\naddrReuseS = 2\nstableWindowMs = 3000\nackMs = 4000\n\
    catchupS = 4\ndrainMs = 3000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
    rollbackSlackMs = 250\nmaxSkewMs = 5000\nrevokeStrict = true\nrevokeMs = 5000\n\
    quotaWindowS = 5\nquotaExcess = 0.1\nquotaSlack = 20\ncoldExcess = 1.5\ncoldSlack = 5\n\
    evacMs = 5000\nrecoverS = 12\ndeliverySlackMs = 120\nretryAfterS = 0\ndeadlineS = 10\n\
    settleMs = 1000\n";

/// One machine and its process.
pub struct Machine {
    pub name: String,
    pub ip: String,
    settings: PathBuf,
    data: Option<PathBuf>,
    log: PathBuf,
    /// Ids of all processes that were started.
    pids: PathBuf,
    child: Option<Child>,
    root: PathBuf,
    command: Vec<String>,
}

impl Machine {
    pub fn start(&mut self) {
        let log = fs::File::options().create(true).append(true).open(&self.log).expect("log file");
        let err = log.try_clone().expect("log file");
        let mut command = Command::new(self.root.join(&self.command[0]));
        command.args(&self.command[1..]).current_dir(&self.root).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("POPLARSPAN_BOOT", &self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(err);
        let child = command.spawn().expect("the program starts");
        // For the script, should this run be ended from outside.
        let pids = fs::File::options().create(true).append(true).open(&self.pids);
        let _ = writeln!(pids.expect("file of process ids"), "{}", child.id());
        self.child = Some(child);
    }

    /// Starts the process again, as the platform does: `bootstrap` is false then.
    pub fn restart(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("settings");
        fs::write(&self.settings, text.replace("bootstrap = true", "bootstrap = false"))
            .expect("settings");
        self.start();
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args([signal, &pid]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits for the exit, at most for `grace`; then SIGKILL.
    pub fn terminate(&mut self, grace: Duration) {
        self.signal("-TERM");
        let until = Instant::now() + grace;
        while let Some(child) = &mut self.child {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return;
            }
            if Instant::now() > until {
                self.kill();
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Empties the data folder, as after the loss of a disk.
    pub fn wipe(&self) {
        let data = self.data.as_ref().expect("the machine has a disk");
        fs::remove_dir_all(data).expect("data folder");
        fs::create_dir(data).expect("data folder");
    }

    /// When the process became the leader of a group for the last time, by its log.
    pub fn led_at(&self) -> Option<u64> {
        let log = fs::read_to_string(&self.log).ok()?;
        let line = log.lines().rfind(|line| line.contains("changed to role Leader"))?;
        let (_, after) = line.split_once("\"timestamp\":")?;
        after.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.signal("-CONT");
        self.kill();
    }
}

/// What differs between deployments.
pub struct Plan {
    /// Zone of each machine.
    pub cores: Vec<&'static str>,
    pub stores: Vec<&'static str>,
    pub fronts: Vec<&'static str>,
    pub tolerated_machines: u32,
    pub bounds: &'static str,
}

pub struct Fleet {
    pub cores: Vec<Machine>,
    pub stores: Vec<Machine>,
    pub fronts: Vec<Machine>,
    pub list: Arc<Mutex<String>>,
    subnet: String,
    dir: PathBuf,
    _guard: TcpListener,
}

impl Fleet {
    /// Makes the settings of all machines; nothing is started but the list of servers.
    pub fn new(root: &Path, plan: &Plan) -> Self {
        let (subnet, guard) = free_subnet();
        let dir = std::env::temp_dir().join(format!("poplarspan-review-{}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("temporary folder");
        let command = deploy_command(root);
        let mut fleet = Self {
            cores: Vec::new(),
            stores: Vec::new(),
            fronts: Vec::new(),
            list: Arc::new(Mutex::new(r#"{"instances":[],"nextToken":null}"#.to_owned())),
            subnet,
            dir,
            _guard: guard,
        };
        let mut zones: Vec<&str> = plan.cores.clone();
        zones.extend(&plan.stores);
        zones.extend(&plan.fronts);
        zones.sort_unstable();
        zones.dedup();
        let zones: String = zones.iter().map(|z| format!("{z} = \"r\"\n")).collect();
        let seeds: Vec<String> = (0..plan.cores.len().min(3))
            .map(|n| format!("\"{}:{CONTROL_PORT}\"", fleet.ip(10 + n)))
            .collect();
        let seeds = seeds.join(", ");
        let mut make = |class: &str, n: usize, zone: &str| {
            let (number, serves) = match class {
                "core" => (10 + n, "control"),
                "storage" => (20 + n, "storage"),
                _ => (40 + n, "front"),
            };
            let ip = fleet.ip(number);
            let name = format!("{class}-{zone}-{n}");
            let data = (class != "front").then(|| fleet.dir.join(format!("data-{name}")));
            if let Some(data) = &data {
                fs::create_dir(data).expect("data folder");
            }
            let data_line = data
                .as_ref()
                .map_or_else(String::new, |d| format!("dataDir = \"{}\"\n", d.display()));
            let listen = match class {
                "front" => {
                    format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n")
                }
                "core" => format!("control = \"{ip}:{CONTROL_PORT}\"\n"),
                _ => String::new(),
            };
            let memory = if class == "core" { 256 } else { 120 };
            let disk = match class {
                "core" => 128,
                "storage" => 260,
                _ => 0,
            };
            let text = format!(
                "node = \"{name}\"\nrole = \"{serves}\"\nclass = \"{class}\"\nserves = [\"{serves}\"]\n\
                 ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\nportRange = [7780, 7795]\n\
                 seeds = [{seeds}]\nbootstrap = true\nlossCounts = {counts}\n{data_line}\
                 discovery = \"cloud\"\nentry = \"vip\"\nheartbeatMs = 1200\nmode = \"highest\"\n\
                 [zones]\n{zones}[listen]\n{listen}\
                 [limits]\ncpuShare = 0.5\ncpuSpeedup = 1\nmemoryMb = {memory}\nmaxFds = 4100\n\
                 linkMbps = 1000.0\ndiskMb = {disk}\n\
                 [faultTolerance]\nmachines = {machines}\nzones = 1\nregions = 0\n\
                 [bounds]\n{bounds}\
                 [cloud]\naddress = \"{list}:{SERVER_PORT}\"\nratePerS = 44.0\nduties = []\nmaxLagMs = 800\n",
                counts = class != "front",
                machines = plan.tolerated_machines,
                bounds = plan.bounds,
                list = fleet.ip(1),
            );
            let settings = fleet.dir.join(format!("{name}.toml"));
            fs::write(&settings, text).expect("settings");
            let log = fleet.dir.join(format!("{name}.log"));
            let pids = fleet.dir.join("pids");
            let (root, command) = (root.to_owned(), command.clone());
            Machine { name, ip, settings, data, log, pids, child: None, root, command }
        };
        let build =
            |class: &str, zones: &[&str], make: &mut dyn FnMut(&str, usize, &str) -> Machine| {
                zones.iter().enumerate().map(|(n, zone)| make(class, n, zone)).collect::<Vec<_>>()
            };
        let cores = build("core", &plan.cores, &mut make);
        let stores = build("storage", &plan.stores, &mut make);
        let fronts = build("front", &plan.fronts, &mut make);
        (fleet.cores, fleet.stores, fleet.fronts) = (cores, stores, fronts);
        fleet.serve_list();
        fleet
    }

    pub fn ip(&self, machine: usize) -> String {
        format!("{}.{machine}", self.subnet)
    }

    pub fn start_all(&mut self) {
        let machines = self.cores.iter_mut().chain(&mut self.stores).chain(&mut self.fronts);
        machines.for_each(Machine::start);
    }

    fn serve_list(&self) {
        let address: SocketAddr =
            format!("{}:{SERVER_PORT}", self.ip(1)).parse().expect("an address");
        let list = self.list.clone();
        http::serve(address, move |_request, stream| {
            let body = list.lock().expect("list").clone();
            http::write_answer(
                stream,
                200,
                &[("Content-Type", "application/json")],
                body.as_bytes(),
            )
        });
    }

    /// Sends an operator's order to one machine after the other until one answers without a 5xx, at
    /// most until `until`. Returns the machine, the status and the body.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &str,
        first: usize,
        until: Instant,
        record: &Record,
    ) -> Option<(usize, u16, String)> {
        let mut turn = first;
        while Instant::now() < until {
            let at = turn % self.cores.len();
            turn += 1;
            let ip = &self.cores[at].ip;
            let headers = [("Content-Type", "application/json")];
            let answer = http::call(
                &format!("{ip}:{CONTROL_PORT}"),
                method,
                path,
                ip,
                &headers,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            let name = &self.cores[at].name;
            match answer {
                Ok(answer) if answer.is_whole && answer.status < 500 => {
                    record.line(&format!("order {method} {path} to {name}: {}", answer.status));
                    return Some((at, answer.status, answer.text()));
                }
                Ok(answer) => {
                    record.line(&format!("order {method} {path} to {name}: {}", answer.status));
                }
                Err(e) => record.line(&format!("order {method} {path} to {name}: no answer ({e})")),
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Waits until a front's readiness probe answers with 200.
    pub fn wait_ready(&self, front: usize, until: Instant) -> bool {
        let ip = &self.fronts[front].ip;
        while Instant::now() < until {
            let address = format!("{ip}:{READY_PORT}");
            let probe =
                http::call(&address, "GET", "/-/ready", ip, &[], b"", Duration::from_secs(1));
            if probe.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn ends(&mut self) -> Vec<String> {
        let machines = self.cores.iter_mut().chain(&mut self.stores).chain(&mut self.fronts);
        machines.filter_map(|m| m.has_ended().then(|| m.name.clone())).collect()
    }

    /// Copies the logs of the processes beside the record, if the environment asks for it.
    pub fn keep_logs(&self) {
        if let Ok(folder) = std::env::var("REVIEW_LOGS") {
            let _ = fs::create_dir_all(&folder);
            for item in fs::read_dir(&self.dir).into_iter().flatten().flatten() {
                if item.path().extension().is_some_and(|e| e == "log") {
                    let _ = fs::copy(item.path(), Path::new(&folder).join(item.file_name()));
                }
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.cores.clear();
        self.stores.clear();
        self.fronts.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// The command of the role `front` in the deploy file; all roles have the same one.
fn deploy_command(root: &Path) -> Vec<String> {
    let text = fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("a command");
    let words = line.trim_start_matches("run = ").trim_matches('"');
    words.split(' ').map(str::to_owned).collect()
}

/// A loopback subnet that no other run uses.
fn free_subnet() -> (String, TcpListener) {
    let pid = std::process::id();
    for n in 0..200 {
        let subnet = format!("127.{}.{}", 70 + (pid + n) % 50, (pid / 50 + n) % 200);
        if let Ok(guard) = TcpListener::bind(format!("{subnet}.{GUARD}:7999")) {
            return (subnet, guard);
        }
    }
    panic!("no loopback subnet is free");
}
