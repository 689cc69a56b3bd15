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
    /// Starts the program and appends its log (stderr) to a file.
    pub fn start(args: &[&str], log: &Path) -> Self {
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("failed to open the log file");
        let child = Command::new(PROGRAM)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("failed to start the program");
        Self { child }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("pid out of range"));
        kill(pid, signal).expect("failed to signal the process");
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(mut self) {
        self.child.kill().expect("failed to signal the process");
        self.child.wait().expect("failed to wait for the process");
    }

    /// Sends SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Sends SIGTERM without waiting for the exit.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits for the exit.
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().expect("failed to wait for the process")
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Exit status and output of a command.
pub struct CommandOutput {
    pub status: ExitStatus,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    /// Panics with the output if the command failed.
    pub fn success(self) -> Self {
        assert!(self.status.success(), "{}{}", self.stdout, self.stderr);
        self
    }
}

/// Runs a command of the program and waits for its exit.
pub fn run(args: &[&str]) -> CommandOutput {
    let output = Command::new(PROGRAM)
        .args(args)
        .stdin(Stdio::null())
        .output()
        .expect("failed to run the program");
    let text = |buf: Vec<u8>| String::from_utf8(buf).expect("output is not UTF-8");
    CommandOutput {
        status: output.status,
        stdout: text(output.stdout),
        stderr: text(output.stderr),
    }
}

/// Ports that [`free_port`] has returned.
static PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Returns a loopback address whose port is free for TCP and UDP.
///
/// The port is bound only later. Each test process therefore uses its own IP address: on 127.0.0.1
/// other sockets, such as outgoing connections, took some of the ports in between.
pub fn free_port() -> SocketAddr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, a | 128, b, c);
    let mut ports = PORTS.lock().expect("lock is poisoned");
    loop {
        let tcp = TcpListener::bind((ip, 0)).expect("failed to bind a free port");
        let address = tcp.local_addr().expect("no local address");
        if !ports.contains(&address.port()) && UdpSocket::bind(address).is_ok() {
            ports.push(address.port());
            return address;
        }
    }
}
