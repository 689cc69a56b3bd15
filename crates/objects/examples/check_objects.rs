//! Checks two files as one set and prints the findings with their positions. Then corrects the files,
//! changes the set, and applies the difference to the old set.

use poplarspan_objects::{Change, Findings, Source, check};

const TEAMS: &str = r#"format = 1

[[rate]]
name = "small"
rate = "5/s"
burst = 10

[[team]]
name = "red"
rate = "smal"
"#;

const ZONES: &str = r#"format = 1

[[zone]]
name = "z1"
state = "on"
"#;

fn main() -> Result<(), Findings> {
    // A set with findings is refused as a whole. The findings of all files are reported together.
    let zones = Source::new("zones.toml", ZONES);
    match check(&[Source::new("teams.toml", TEAMS), zones]) {
        Err(findings) => println!("{findings}"),
        Ok(set) => println!("no findings in {} objects", set.len()),
    }

    let teams = Source::new("teams.toml", TEAMS.replace("smal\"", "small\""));
    let zones = Source::new("zones.toml", ZONES.replace("\"on\"", "\"in\""));
    let old = check(&[teams.clone(), zones])?;
    println!("{} objects; burst {:?}", old.len(), old.rate("small").map(|r| r.burst));

    // Remove the zone and raise the burst.
    let teams = Source::new("teams.toml", teams.text.replace("10", "20"));
    let new = check(&[teams])?;
    let changes = old.diff(&new);
    for change in &changes {
        match change {
            Change::Upsert(record) => {
                let body = String::from_utf8_lossy(&record.body);
                println!("set {}/{} {body}", record.kind, record.name);
            }
            Change::Remove { kind, name } => println!("remove {kind}/{name}"),
        }
    }

    // The receiver of changes checks them again.
    let copy = old.apply(&changes)?;
    println!("sets are equal: {}", copy.content_digest() == new.content_digest());
    if let Err(findings) = copy.apply(&changes) {
        println!("{findings}");
    }
    Ok(())
}
