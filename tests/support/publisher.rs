//! An operator that publishes one generation after another.

use std::{
    fmt::Write,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use tokio::task::JoinHandle;

use super::{Fleet, eventually, operator::Operator};

/// Attempts of a command; each has the timeout of the operator.
const MAX_ATTEMPTS: usize = 5;

/// Publishes until it is stopped. Each publication adds one object and checks that none is lost.
pub struct Publisher {
    stop: Arc<AtomicBool>,
    published: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Publisher {
    /// Starts publishing through the instances of `through` in turn.
    pub fn start(fleet: &Fleet, through: &[usize]) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let published = Arc::new(AtomicU64::new(fleet.generation()));
        let (operator, text) = (fleet.operator(), fleet.objects.text());
        let (stopped, counted, through) = (stop.clone(), published.clone(), through.to_vec());
        let run = move || publish_all(&operator, text, &through, &stopped, &counted);
        Self { stop, published, task: tokio::task::spawn_blocking(run) }
    }

    /// Waits until a publication that begins after this call is in force.
    pub async fn wait_for_progress(&self) {
        let target = self.published.load(Ordering::Relaxed) + 2;
        eventually("publications", async || self.published.load(Ordering::Relaxed) >= target).await;
    }

    /// Stops and returns the last published generation.
    pub async fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.expect("publisher failed");
        self.published.load(Ordering::Relaxed)
    }
}

fn publish_all(
    operator: &Operator,
    mut text: String,
    through: &[usize],
    stop: &AtomicBool,
    published: &AtomicU64,
) {
    while !stop.load(Ordering::Relaxed) {
        let generation = published.load(Ordering::Relaxed);
        let next = generation + 1;
        let _ = write!(text, "{}", marker(next));
        let i = through[generation as usize % through.len()];
        publish_until_answered(operator, i, &text, generation);
        let objects = get_objects(operator, i);
        assert!(objects.starts_with(&format!("generation {next}\n")), "{objects}");
        for n in 1..=next {
            let kept = n <= first_marker(&text) || objects.contains(&format!("\"marker-{n}\""));
            assert!(kept, "marker {n} is lost in generation {next}");
        }
        published.store(next, Ordering::Relaxed);
    }
}

/// Reads the objects; retries while the instance or the leader is unavailable.
fn get_objects(operator: &Operator, i: usize) -> String {
    for _ in 0..MAX_ATTEMPTS {
        let outcome = operator.run(i, &["get"]);
        if outcome.status.success() {
            return outcome.stdout;
        }
    }
    panic!("get failed {MAX_ATTEMPTS} times");
}

/// Publishes; retries with the same request id while no response arrives.
fn publish_until_answered(operator: &Operator, i: usize, text: &str, generation: u64) {
    let request = format!("publication-{}", generation + 1);
    for _ in 0..MAX_ATTEMPTS {
        let outcome = operator.publish(i, text, generation, &request, &[]);
        if outcome.status.success() {
            let answer = format!("published as generation {}\n", generation + 1);
            assert!(outcome.stdout.starts_with(&answer), "{}", outcome.stdout);
            return;
        }
        // There is no other publisher, so the publication cannot conflict.
        assert!(!outcome.stderr.contains("not published"), "{}", outcome.stderr);
    }
    panic!("publishing generation {} failed {MAX_ATTEMPTS} times", generation + 1);
}

/// An object whose presence shows that the set contains a generation.
pub fn marker(generation: u64) -> String {
    format!(
        "[[budget]]\nname = \"marker-{generation}\"\ntokens = 1\nturns = 1\nlifetime = \"1h\"\n"
    )
}

/// Number of the generation before the first marker of a file.
fn first_marker(text: &str) -> u64 {
    let (_, rest) = text.split_once("marker-").expect("no marker in the file");
    rest.split('"').next().and_then(|n| n.parse::<u64>().ok()).expect("not a number") - 1
}
