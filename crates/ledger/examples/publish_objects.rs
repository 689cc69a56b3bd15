//! Publishes objects with compare-and-set. Two operators publish at the same generation, the winner
//! retries and gets its first answer, and an instance fetches the changes that it has missed.

use poplarspan_ledger::{Catalog, Changes};
use poplarspan_proto::ledger::{
    CatalogAnswer, CatalogCommand, ObjectChange, Publish, catalog_answer::Answer,
    catalog_command::Command,
};
use prost::Message;

/// Applies a command directly. In a deployment, it is proposed to the replicated log and applied by
/// each replica.
fn apply(catalog: &mut Catalog, publish: &Publish) -> Answer {
    let command = Command::Publish(publish.clone());
    let data = CatalogCommand { now_ms: 1_000, command: Some(command) }.encode_to_vec();
    let answer = catalog.apply(catalog.index() + 1, &data);
    CatalogAnswer::decode(answer)
        .ok()
        .and_then(|a| a.answer)
        .expect("the catalog encodes a known answer")
}

fn publish(operator: &str, expected_generation: u64, teams: &[(&str, u32)]) -> Publish {
    let change = |(name, weight): &(&str, u32)| ObjectChange {
        kind: "team".into(),
        name: (*name).into(),
        body: Some(format!("{{\"weight\":{weight}}}").into()),
    };
    Publish {
        expected_generation,
        // Chosen by the sender. A retry must use the same id.
        request_id: format!("{operator}-{expected_generation}"),
        operator: operator.into(),
        changes: teams.iter().map(change).collect(),
        ..Publish::default()
    }
}

fn main() {
    let mut catalog = Catalog::new();
    let first = publish("ann", 0, &[("red", 1), ("blue", 1)]);
    println!("ann at 0:    {:?}", apply(&mut catalog, &first));
    // The second publication at the same generation gets a conflict that names the first operator.
    let second = publish("bob", 0, &[("red", 2)]);
    println!("bob at 0:    {:?}", apply(&mut catalog, &second));
    let again = publish("bob", 1, &[("red", 2)]);
    println!("bob at 1:    {:?}", apply(&mut catalog, &again));
    // A retry gets the first answer and changes nothing, even after later generations.
    println!("ann resends: {:?}", apply(&mut catalog, &first));
    println!("red is {:?}", catalog.object("team", "red"));

    // The update for an instance at generation 1. It would get the full set if there were as many
    // changes as objects.
    match catalog.changes_since(1) {
        Changes::Deltas { generation, changes } => println!("to {generation}: {changes:?}"),
        Changes::FullSet { generation, objects } => println!("all of {generation}: {objects:?}"),
    }
}
