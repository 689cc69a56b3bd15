//! Consumers that send turns of programs.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer},
    record::Record,
    servers,
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "3fexd9dnn2ctnfzs989a";
/// Time that a program has.
pub const PROGRAM_MS: u64 = 110_000;
/// Time limit of a turn.
const TURN_MS: u64 = 4_000;

/// A turn that was answered whole.
#[derive(Clone)]
pub struct Turn {
    pub id: String,
    pub ended: Instant,
}

/// The consumers of some front machines.
pub struct Consumer {
    pub fronts: Vec<String>,
    pub record: Arc<Record>,
}

impl Consumer {
    /// Sends a turn of a program that began at `began`. `None` without an answer.
    pub fn turn(
        &self,
        front: usize,
        path: &str,
        id: &str,
        previous: Option<&str>,
        began: Instant,
        input: &[u8],
    ) -> Option<Answer> {
        let left = PROGRAM_MS.saturating_sub(began.elapsed().as_millis() as u64).to_string();
        let limit = TURN_MS.to_string();
        // A line of turns is known by the first letters of its ids.
        let line: String = id.chars().take_while(|c| c.is_alphabetic()).collect();
        let program = if previous.is_some() { "talk".to_owned() } else { id.to_owned() };
        let mut headers = vec![
            ("Request-Id", id),
            ("Deadline-Ms", limit.as_str()),
            ("Api-Key", KEY),
            ("Program-Id", program.as_str()),
            ("Session-Id", line.as_str()),
            ("Program-Deadline-Ms", left.as_str()),
            ("Model", "m"),
            ("Token-Count", "840,48"),
            ("Token-Budget", "48000"),
        ];
        headers.extend(previous.map(|previous| ("Previous-Turn", previous)));
        let timeout = Duration::from_millis(TURN_MS + 100);
        let answer = http::call(&self.fronts[front], "POST", path, HOST, &headers, input, timeout);
        let after = previous.map_or_else(String::new, |p| format!(" after {p}"));
        match answer {
            Ok(answer) => {
                let (status, whole) = (answer.status, answer.is_whole);
                let line = format!("turn {id}{after} at front {front}: {status}, whole {whole}");
                self.record.line(&line);
                Some(answer)
            }
            Err(e) => {
                self.record.line(&format!("turn {id}{after} at front {front}: no answer ({e})"));
                None
            }
        }
    }

    /// Sends a turn. Returns it if it was answered whole.
    pub fn whole(
        &self,
        front: usize,
        path: &str,
        id: &str,
        previous: Option<&str>,
        began: Instant,
        input: &[u8],
    ) -> Option<Turn> {
        let answer = self.turn(front, path, id, previous, began, input)?;
        let is_whole = answer.status == 200
            && answer.is_whole
            && servers::events(id).iter().all(|data| answer.text().contains(data.as_str()));
        is_whole.then(|| Turn { id: id.to_owned(), ended: Instant::now() })
    }
}
