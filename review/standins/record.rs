//! The record of a run: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Mutex, OnceLock},
    time::{Duration, Instant},
};

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();

pub fn open(path: &Path) {
    START.get_or_init(Instant::now);
    let file = File::create(path).expect("cannot create the record");
    FILE.get_or_init(|| Mutex::new(file));
}

/// Time since the start of the run.
pub fn now() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

pub fn line(text: &str) {
    let at = now().as_secs_f64();
    if let Some(file) = FILE.get() {
        let mut file = file.lock().expect("no panic while locked");
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}

/// Writes a line to the record and to the standard output.
pub fn say(text: &str) {
    line(text);
    println!("{text}");
}

/// Ends the run, which could not be done.
pub fn fail(text: &str) -> ! {
    say(&format!("the case could not run: {text}"));
    std::panic::resume_unwind(Box::new(text.to_owned()))
}
