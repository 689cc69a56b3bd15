//! Operator commands.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use super::process::{CommandOutput, run};

/// Runs commands as one operator. Clones may run commands concurrently.
#[derive(Clone)]
pub struct Operator {
    pub(super) folder: PathBuf,
    pub(super) tls: Vec<String>,
    pub(super) key: String,
    /// Peer addresses of the instances, by index.
    pub(super) control: Vec<SocketAddr>,
    pub(super) timeout: &'static str,
    /// Number of the next input file for a command.
    pub(super) files: Arc<AtomicU64>,
}

impl Operator {
    /// Uses another operator key.
    pub fn with_key(mut self, key: &str) -> Self {
        key.clone_into(&mut self.key);
        self
    }

    /// Uses another command timeout.
    pub fn with_timeout(mut self, timeout: &'static str) -> Self {
        self.timeout = timeout;
        self
    }

    /// Runs a command that connects to instance `i`.
    pub fn run(&self, i: usize, args: &[&str]) -> CommandOutput {
        let key = self.write_file("key", &self.key);
        let control = self.control[i].to_string();
        let mut all = args.to_vec();
        all.extend(["--control", &control, "--timeout", self.timeout]);
        all.extend(["--operator-key-file", &key]);
        all.extend(self.tls.iter().map(String::as_str));
        run(&all)
    }

    /// Publishes an object file with additional flags.
    pub fn publish(
        &self,
        i: usize,
        text: &str,
        generation: u64,
        request: &str,
        flags: &[&str],
    ) -> CommandOutput {
        let file = self.write_file("objects.toml", text);
        let generation = generation.to_string();
        let mut args = vec!["publish", &file, "--expect-generation", &generation];
        args.extend(["--request-id", request]);
        args.extend(flags);
        self.run(i, &args)
    }

    /// Output of `status --json`, or null if there is no JSON.
    pub fn status(&self, i: usize) -> serde_json::Value {
        let outcome = self.run(i, &["status", "--json"]);
        serde_json::from_str(&outcome.stdout).unwrap_or(serde_json::Value::Null)
    }

    fn write_file(&self, name: &str, text: &str) -> String {
        let number = self.files.fetch_add(1, Ordering::Relaxed);
        let file = self.folder.join(format!("{number}-{name}"));
        std::fs::write(&file, text).expect("failed to write the file");
        file.to_str().expect("path is not UTF-8").to_owned()
    }
}
