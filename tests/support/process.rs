//! Processes of the program under test.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    sync::Mutex,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_poplarspan");

/// A running process, killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program; its log goes to a file.
    pub fn start(args: &[&str], log: &Path) -> Self {
        let log = File::options().create(true).append(true).open(log).expect("log file");
        let child = Command::new(PROGRAM)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        Self { child }
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("a pid"));
        kill(pid, signal).expect("the process runs");
    }

    /// Kills the process without warning.
    pub fn kill(mut self) {
        self.child.kill().expect("the process runs");
        self.child.wait().expect("the process ends");
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits until the process has ended.
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().expect("the process ends")
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only when the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a command of the program has printed.
pub struct CommandOutput {
    pub status: ExitStatus,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    /// Checks that the command succeeded.
    pub fn success(self) -> Self {
        assert!(self.status.success(), "{}{}", self.stdout, self.stderr);
        self
    }
}

/// Runs a command of the program to its end.
pub fn run(args: &[&str]) -> CommandOutput {
    let output = Command::new(PROGRAM).args(args).stdin(Stdio::null()).output().expect("it runs");
    let text = |buf: Vec<u8>| String::from_utf8(buf).expect("UTF-8");
    CommandOutput {
        status: output.status,
        stdout: text(output.stdout),
        stderr: text(output.stderr),
    }
}

/// Ports that were handed out.
static PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// An address on loopback whose port is free for TCP and UDP.
///
/// Each test process has an IP address of its own, since the ports are bound later: other sockets
/// on 127.0.0.1, such as outgoing connections, took some of them before.
pub fn free_port() -> SocketAddr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, a | 128, b, c);
    let mut ports = PORTS.lock().expect("no panic while locked");
    loop {
        let tcp = TcpListener::bind((ip, 0)).expect("a free port");
        let address = tcp.local_addr().expect("bound");
        if !ports.contains(&address.port()) && UdpSocket::bind(address).is_ok() {
            ports.push(address.port());
            return address;
        }
    }
}
