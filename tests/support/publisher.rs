//! An operator who publishes one generation after the other.

use std::{
    fmt::Write,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use tokio::task::JoinHandle;

use super::{Fleet, eventually, operator::Operator};

/// Tries of a command, each of which waits for long.
const MAX_ATTEMPTS: usize = 5;

/// Publishes until it is stopped. Each publication adds an object, and all must stay.
pub struct Publisher {
    stop: Arc<AtomicBool>,
    published: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Publisher {
    /// Starts to publish through the instances of `through` in turn.
    pub fn start(fleet: &Fleet, through: &[usize]) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let published = Arc::new(AtomicU64::new(fleet.generation()));
        let (operator, text) = (fleet.operator(), fleet.objects.text());
        let (stopped, counted, through) = (stop.clone(), published.clone(), through.to_vec());
        let run = move || publish_all(&operator, text, &through, &stopped, &counted);
        Self { stop, published, task: tokio::task::spawn_blocking(run) }
    }

    /// Waits until publications that begin from now on are in force.
    pub async fn wait_for_progress(&self) {
        let target = self.published.load(Ordering::Relaxed) + 2;
        eventually("publications", async || self.published.load(Ordering::Relaxed) >= target).await;
    }

    /// Stops, and returns the generation that was reached.
    pub async fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.expect("no publication is lost");
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

/// Reads the objects, and asks again while the instance or the leader is lost.
fn get_objects(operator: &Operator, i: usize) -> String {
    for _ in 0..MAX_ATTEMPTS {
        let outcome = operator.run(i, &["get"]);
        if outcome.status.success() {
            return outcome.stdout;
        }
    }
    panic!("get had no answer {MAX_ATTEMPTS} times");
}

/// Publishes, and resends under the same request id while the answer is lost.
fn publish_until_answered(operator: &Operator, i: usize, text: &str, generation: u64) {
    let request = format!("publication-{}", generation + 1);
    for _ in 0..MAX_ATTEMPTS {
        let outcome = operator.publish(i, text, generation, &request, &[]);
        if outcome.status.success() {
            let answer = format!("published as generation {}\n", generation + 1);
            assert!(outcome.stdout.starts_with(&answer), "{}", outcome.stdout);
            return;
        }
        // Nobody else publishes.
        assert!(!outcome.stderr.contains("not published"), "{}", outcome.stderr);
    }
    panic!("generation {} had no answer {MAX_ATTEMPTS} times", generation + 1);
}

/// An object that shows that a generation is contained in the set.
pub fn marker(generation: u64) -> String {
    format!(
        "[[budget]]\nname = \"marker-{generation}\"\ntokens = 1\nturns = 1\nlifetime = \"1h\"\n"
    )
}

/// Number below the first marker of a file.
fn first_marker(text: &str) -> u64 {
    let (_, rest) = text.split_once("marker-").expect("a marker was written");
    rest.split('"').next().and_then(|n| n.parse::<u64>().ok()).expect("a number") - 1
}
