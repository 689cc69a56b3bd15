//! Starts the project's processes with the commands of the deploy file, and plays the platform.

use std::{
    collections::HashMap,
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Conn},
    record,
};

pub const PEER_PORT: u16 = 7780;
const LAST_PEER_PORT: u16 = PEER_PORT + 15;
const METRICS_PORT: u16 = 9464;
pub const LIST_PORT: u16 = 8362;
pub const CONTROL_PORT: u16 = 8367;
pub const FRONT_PORT: u16 = 8368;
pub const READY_PORT: u16 = 8369;
pub const SERVER_PORT: u16 = 8080;
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;
pub const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
pub const HOST: &str = "calls.example";
pub const KEY: &str = "key-of-red";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Numbers of machines in the subnet of a run.
const FIRST_CORE: u8 = 10;
const FIRST_STORE: u8 = 20;
const FIRST_FRONT: u8 = 60;
pub const FIRST_SERVER: u8 = 100;
const LAST_MACHINE: u8 = 110;

struct Machine {
    name: String,
    run: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    fn start(&mut self) {
        let log = fs::File::options().create(true).append(true).open(&self.log);
        let log = log.expect("cannot open a log");
        let mut cmd = Command::new(&self.run[0]);
        cmd.args(&self.run[1..]).env_clear().env("POPLARSPAN_BOOT", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                cmd.env(name, value);
            }
        }
        let errors = log.try_clone().expect("cannot open a log");
        // If the script is ended, its processes end with it.
        let end_with_parent = || {
            // SAFETY: `prctl` may be called between fork and exec.
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
            Ok(())
        };
        // SAFETY: the closure calls only `prctl`.
        unsafe { cmd.pre_exec(end_with_parent) };
        let child = cmd.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(e) => record::fail(&format!("cannot start {}: {e}", self.run[0])),
        }
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }
}

/// An entry of the platform's list of servers.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub slots: u32,
    /// When the server is warm again.
    pub cold_until: Duration,
    pub is_leaving: bool,
}

/// The platform's list of servers, as it was `LIST_LAG` ago.
#[derive(Clone, Default)]
pub struct List {
    versions: Arc<Mutex<Vec<(Duration, Vec<Listed>)>>>,
    /// An entry that comes from another writer, as it stands in the page.
    foreign: Arc<Mutex<Option<Vec<u8>>>>,
}

/// `maxLagMs` of the settings.
const LIST_LAG: Duration = Duration::from_millis(800);

impl List {
    pub fn set(&self, entries: Vec<Listed>) {
        self.versions.lock().expect("no panic while locked").push((record::now(), entries));
    }

    pub fn set_foreign(&self, entry: &[u8]) {
        *self.foreign.lock().expect("no panic while locked") = Some(entry.to_vec());
    }

    fn page(&self) -> Vec<u8> {
        let now = record::now();
        let versions = self.versions.lock().expect("no panic while locked");
        let is_first = versions.len() == 1;
        let old = versions.iter().rev().find(|(at, _)| is_first || *at + LIST_LAG <= now);
        let Some((_, entries)) = old.or(versions.first()) else {
            return b"{\"instances\":[],\"nextToken\":null}".to_vec();
        };
        let seen = now.saturating_sub(LIST_LAG);
        let entry = |e: &Listed| {
            let left = e.cold_until.saturating_sub(seen).as_millis();
            format!(
                "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\
                 \"version\":\"v1\",\"slots\":{},\"state\":\"{}\",\"coldLeftMs\":{left}}}",
                e.id,
                e.service,
                e.address,
                e.zone,
                e.slots,
                if e.is_leaving { "draining" } else { "ready" }
            )
        };
        let mut entries: Vec<Vec<u8>> = entries.iter().map(|e| entry(e).into_bytes()).collect();
        entries.extend(self.foreign.lock().expect("no panic while locked").clone());
        [b"{\"instances\":[", &*entries.join(&b","[..]), b"],\"nextToken\":null}"].concat()
    }

    fn serve(self, address: SocketAddr) {
        let socket = TcpListener::bind(address).unwrap_or_else(|e| record::fail(&e.to_string()));
        thread::spawn(move || {
            for stream in socket.incoming().flatten() {
                let list = self.clone();
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(_)) = conn.read_head() {
                        let page = list.page();
                        let text = format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                             Content-Length: {}\r\n\r\n",
                            page.len()
                        );
                        if std::io::Write::write_all(
                            &mut conn.stream,
                            &[text.as_bytes(), &*page].concat(),
                        )
                        .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
    }
}

/// How many machines of each class there are.
pub struct Size {
    pub cores: u8,
    pub stores: u8,
    pub fronts: u8,
}

pub struct Fleet {
    subnet: [u8; 3],
    dir: PathBuf,
    machines: Mutex<Vec<Machine>>,
    size: Size,
    pub list: List,
    is_over: Arc<AtomicBool>,
}

impl Fleet {
    /// Picks a free subnet of loopback addresses and a temporary folder.
    pub fn new(size: Size) -> Self {
        let pid = std::process::id();
        let free = (0..200u32).map(|n| {
            let n = pid + n * 7;
            [127, 70 + (n % 150) as u8, (n / 150 % 250) as u8]
        });
        let is_free = |subnet: &[u8; 3]| {
            let ip = |n| Ipv4Addr::new(subnet[0], subnet[1], subnet[2], n);
            let tcp = [LIST_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT, METRICS_PORT, SERVER_PORT];
            let is_free = |ip: Ipv4Addr| {
                tcp.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
                    && (PEER_PORT..=LAST_PEER_PORT).all(|port| UdpSocket::bind((ip, port)).is_ok())
            };
            (1..=LAST_MACHINE).all(|n| is_free(ip(n)))
        };
        let Some(subnet) = { free }.find(is_free) else { record::fail("no free addresses") };
        let dir = std::env::temp_dir().join(format!("poplarspan-review-{pid}"));
        fs::create_dir_all(&dir).expect("cannot create the temporary folder");
        let list = List::default();
        let [a, b, c] = subnet;
        list.clone().serve(SocketAddr::from((Ipv4Addr::new(a, b, c, 1), LIST_PORT)));
        let is_over = Arc::new(AtomicBool::new(false));
        Self { subnet, dir, machines: Mutex::default(), size, list, is_over }
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.subnet[0], self.subnet[1], self.subnet[2], machine)
    }

    pub fn server_address(&self, server: usize) -> SocketAddr {
        SocketAddr::from((self.ip(FIRST_SERVER + server as u8), SERVER_PORT))
    }

    pub fn front_address(&self, front: usize) -> SocketAddr {
        SocketAddr::from((self.ip(FIRST_FRONT + front as u8), FRONT_PORT))
    }

    fn control_address(&self, core: usize) -> SocketAddr {
        SocketAddr::from((self.ip(FIRST_CORE + core as u8), CONTROL_PORT))
    }

    /// Starts all processes, publishes the config and waits until the fronts are ready.
    pub fn start(&self, config: &str) {
        let commands = deploy_commands();
        let classes = [
            ("core", "control", FIRST_CORE, self.size.cores),
            ("storage", "storage", FIRST_STORE, self.size.stores),
            ("front", "front", FIRST_FRONT, self.size.fronts),
        ];
        for (class, serves, first, count) in classes {
            let Some(run) = commands.get(serves) else {
                record::fail("no command in the deploy file")
            };
            for n in 0..count {
                let machine = self.machine(class, serves, first + n, usize::from(n), run);
                self.machines().push(machine);
            }
        }
        let count = {
            let mut machines = self.machines();
            machines.iter_mut().for_each(Machine::start);
            machines.len()
        };
        record::line(&format!("started {count} processes"));
        self.wait("the config is acknowledged", || self.publish(config));
        for front in 0..usize::from(self.size.fronts) {
            let ready = SocketAddr::from((self.front_address(front).ip(), READY_PORT));
            self.wait("a front is ready", || {
                let answer = get(ready, "/-/ready");
                answer.status == 200
            });
        }
        record::line("all fronts are ready");
    }

    fn wait(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let until = Instant::now() + Duration::from_secs(30);
        while !holds() {
            if Instant::now() > until {
                record::fail(&format!("not in time: {what}"));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Sends an order to the control machines in turn, as the operator does, until it is acknowledged.
    pub fn order(&self, method: &str, path: &str, body: &str) -> bool {
        for core in 0..usize::from(self.size.cores) {
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let timeout = Duration::from_secs(1);
            let address = self.control_address(core);
            let answer =
                http::call(address, method, path, &headers, body.as_bytes(), timeout, |_| {});
            record::line(&format!("order {method} {path} to core {core}: {}", answer.status));
            if answer.status == 200 {
                return true;
            }
        }
        false
    }

    fn publish(&self, config: &str) -> bool {
        self.order("PUT", "/-/config", config)
    }

    fn machine(
        &self,
        class: &str,
        serves: &str,
        number: u8,
        nth: usize,
        run: &[String],
    ) -> Machine {
        let (ip, zone) = (self.ip(number), ZONES[nth % ZONES.len()]);
        let name = format!("{class}-{zone}-{nth}");
        let seeds = (0..usize::from(self.size.cores).min(3))
            .map(|n| format!("\"{}\"", self.control_address(n)))
            .collect::<Vec<_>>()
            .join(",");
        let (limits, listen) = match class {
            "front" => (
                (0.25, 110, 4100, 0),
                format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\""),
            ),
            "core" => ((0.6, 256, 4096, 128), format!("control = \"{ip}:{CONTROL_PORT}\"")),
            _ => ((0.5, 120, 8200, 260), String::new()),
        };
        let data = self.dir.join(&name);
        let data_dir = match class {
            "front" => String::new(),
            _ => {
                fs::create_dir_all(&data).expect("cannot create a data folder");
                format!("dataDir = \"{}\"\n", data.display())
            }
        };
        let zones: String = ZONES.iter().map(|z| format!("{z} = \"r\"\n")).collect();
        let text = format!(
            "node = \"{name}\"\nrole = \"{serves}\"\nclass = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\nportRange = [{PEER_PORT},{}]\n\
             seeds = [{seeds}]\nbootstrap = true\nlossCounts = {}\ndiscovery = \"cloud\"\n\
             entry = \"vip\"\nheartbeatMs = 1200\nmode = \"highest\"\n{data_dir}\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\
             \"engine\",\"tenants\",\"quota\",\"places\"]\n[zones]\n{zones}[listen]\n{listen}\n\
             [limits]\ncpuShare = {}\ncpuSpeedup = 1\nmemoryMb = {}\nmaxFds = {}\n\
             linkMbps = 1000.0\ndiskMb = {}\n\
             [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\naddrReuseS = 2\nstableWindowMs = 3000\nackMs = 4000\n\
             catchupS = 4\ndrainMs = 3000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
             rollbackSlackMs = 250\nmaxSkewMs = 5000\nrevokeStrict = true\nrevokeMs = 5000\n\
             quotaWindowS = 5\nquotaExcess = 0.1\nquotaSlack = 20\ncoldExcess = 1.5\n\
             coldSlack = 5\nevacMs = 5000\nrecoverS = 12\ndeliverySlackMs = 120\n\
             retryAfterS = 0\ndeadlineS = 10\nsettleMs = 1000\n\
             [cloud]\naddress = \"{}:{LIST_PORT}\"\nratePerS = 44.0\nduties = []\nmaxLagMs = 800\n",
            LAST_PEER_PORT,
            class != "front",
            limits.0,
            limits.1,
            limits.2,
            limits.3,
            self.ip(1),
        );
        let settings = self.dir.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("cannot write the settings");
        let log = self.dir.join(format!("{name}.log"));
        Machine { name, run: run.to_vec(), settings, log, child: None }
    }

    fn machines(&self) -> MutexGuard<'_, Vec<Machine>> {
        self.machines.lock().expect("no panic while locked")
    }

    fn with<T>(&self, class: &str, nth: usize, f: impl FnOnce(&mut Machine) -> T) -> T {
        let mut machines = self.machines();
        let machine = machines.iter_mut().filter(|m| m.name.starts_with(class)).nth(nth);
        f(machine.expect("there is such a machine"))
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&self, class: &str, nth: usize) {
        self.with(class, nth, |machine| {
            machine.signal(SIGKILL);
            if let Some(mut child) = machine.child.take() {
                let _ = child.wait();
            }
        });
        record::line(&format!("{class} {nth}: SIGKILL"));
    }

    /// Removes a machine for good, with its disk.
    pub fn remove(&self, class: &str, nth: usize) {
        self.kill(class, nth);
        let data = self.with(class, nth, |m| self.dir.join(&m.name));
        fs::remove_dir_all(data).expect("cannot remove the data folder");
        record::line(&format!("{class} {nth}: removed with its disk"));
    }

    /// A machine loses its disk: its process ends and is started again on an empty one.
    pub fn wipe(&self, class: &str, nth: usize) {
        self.remove(class, nth);
        let data = self.with(class, nth, |m| self.dir.join(&m.name));
        fs::create_dir(data).expect("cannot create the data folder");
        self.restart(class, nth);
    }

    /// Adds an empty store machine in a zone and returns its place among the stores.
    pub fn add_store(&self, zone: usize) -> usize {
        let commands = deploy_commands();
        let Some(run) = commands.get("storage") else { record::fail("no command for a store") };
        let stores = self.machines().iter().filter(|m| m.name.starts_with("storage")).count();
        let nth = stores + (zone + ZONES.len() - stores % ZONES.len()) % ZONES.len();
        let machine = self.machine("storage", "storage", FIRST_STORE + nth as u8, nth, run);
        self.machines().push(machine);
        self.restart("storage", stores);
        stores
    }

    pub fn name(&self, class: &str, nth: usize) -> String {
        self.with(class, nth, |m| m.name.clone())
    }

    /// Copies the lines of a machine's log that contain a text to the record.
    pub fn note_log(&self, class: &str, nth: usize, text: &str) {
        let log = self.with(class, nth, |m| fs::read_to_string(&m.log).unwrap_or_default());
        log.lines()
            .filter(|l| l.contains(text))
            .for_each(|l| record::line(&format!("{class} {nth}: {l}")));
    }

    /// Asks the control machines in turn until one answers 200, and returns its answer.
    pub fn ask(&self, path: &str) -> Option<String> {
        let cores = 0..usize::from(self.size.cores);
        let mut answers = cores.map(|core| get(self.control_address(core), path));
        answers.find(|a| a.status == 200).map(|a| a.text())
    }

    /// Kills all processes at the same moment with SIGKILL.
    pub fn kill_all(&self) {
        let mut machines = self.machines();
        machines.iter().for_each(|m| m.signal(SIGKILL));
        for child in machines.iter_mut().filter_map(|m| m.child.as_mut()) {
            let _ = child.wait();
        }
        record::line("all processes: SIGKILL");
    }

    /// Starts all processes again.
    pub fn restart_all(&self) {
        let size = &self.size;
        for (class, count) in
            [("core", size.cores), ("storage", size.stores), ("front", size.fronts)]
        {
            (0..usize::from(count)).for_each(|n| self.restart(class, n));
        }
    }

    /// Stops a process with SIGTERM, as in planned work.
    pub fn terminate(&self, class: &str, nth: usize) {
        self.with(class, nth, |machine| machine.signal(SIGTERM));
        record::line(&format!("{class} {nth}: SIGTERM"));
    }

    /// Starts a process that has ended again, as the platform does.
    pub fn restart(&self, class: &str, nth: usize) {
        self.with(class, nth, |machine| {
            if let Some(mut child) = machine.child.take() {
                let _ = child.wait();
            }
            let text = fs::read_to_string(&machine.settings).expect("cannot read the settings");
            let text = text.replace("bootstrap = true", "bootstrap = false");
            fs::write(&machine.settings, text).expect("cannot write the settings");
            machine.start();
        });
        record::line(&format!("{class} {nth}: started again"));
    }

    /// The core machine that has last logged that it leads.
    pub fn leader(&self) -> usize {
        let mut last = (0, 0);
        for core in 0..usize::from(self.size.cores) {
            let log = self.with("core", core, |m| fs::read_to_string(&m.log).unwrap_or_default());
            for line in log.lines().filter(|l| l.contains("this replica leads the control group")) {
                let term = line.split("\"term\":").nth(1).unwrap_or_default();
                let digits: String = term.chars().take_while(char::is_ascii_digit).collect();
                let term: u64 = digits.parse().unwrap_or(0);
                last = last.max((term, core));
            }
        }
        if last.0 == 0 {
            record::fail("no core machine has logged that it leads");
        }
        record::line(&format!("core {} leads in term {}", last.1, last.0));
        last.1
    }

    /// Ends the run if it takes longer than a script may.
    pub fn watch_time(&self, limit: Duration) {
        let is_over = self.is_over.clone();
        let pids: Vec<u32> =
            self.machines().iter().filter_map(|m| Some(m.child.as_ref()?.id())).collect();
        thread::spawn(move || {
            thread::sleep(limit);
            if !is_over.load(Ordering::Relaxed) {
                record::say("the case could not run: it took too long");
                for pid in pids {
                    // SAFETY: the process was started here and is waited for only at the end.
                    unsafe { kill(pid as i32, SIGKILL) };
                }
                std::process::exit(2);
            }
        });
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for machine in self.machines().iter_mut() {
            machine.signal(SIGKILL);
            if let Some(mut child) = machine.child.take() {
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_ok() {
            println!("logs in {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn get(address: SocketAddr, path: &str) -> http::Answer {
    http::call(address, "GET", path, &[("Host", "x")], b"", Duration::from_secs(1), |_| {})
}

/// Commands of the deploy file by what their role serves.
fn deploy_commands() -> HashMap<String, Vec<String>> {
    let path = Path::new("deploy/system.toml");
    let Ok(text) = fs::read_to_string(path) else { record::fail("cannot read the deploy file") };
    let mut commands = HashMap::new();
    let mut run = Vec::new();
    for line in text.lines() {
        let quoted = || line.split('"').nth(1).unwrap_or_default();
        if line.starts_with("run ") {
            run = quoted().split(' ').map(str::to_owned).collect();
        } else if line.starts_with("serves ") {
            commands.insert(quoted().to_owned(), run.clone());
        }
    }
    commands
}
