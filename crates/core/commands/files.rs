//! Commands that work on object files, and `keygen`.

use std::{path::PathBuf, process::ExitCode};

use anyhow::{Context, Result};
use poplarspan_objects::{Change, ObjectSet, Source, generate_secret};

use super::{block_on, operator};
use crate::flags::{DiffFlags, ObjectFileFlags};

/// Reads object files.
pub(crate) fn read(paths: &[PathBuf]) -> Result<Vec<Source>> {
    let read = |path: &PathBuf| -> Result<Source> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        Ok(Source::new(path.display().to_string(), text))
    };
    paths.iter().map(read).collect()
}

/// Reads and checks object files. Prints all findings and returns `None` if there are any.
pub(crate) fn read_and_check(paths: &[PathBuf]) -> Result<Option<ObjectSet>> {
    match poplarspan_objects::check(&read(paths)?) {
        Ok(set) => Ok(Some(set)),
        Err(findings) => {
            eprintln!("{findings}");
            let count = findings.iter().count();
            eprintln!("{count} finding{}", if count == 1 { "" } else { "s" });
            Ok(None)
        }
    }
}

pub(crate) fn check(flags: &ObjectFileFlags) -> Result<ExitCode> {
    let Some(set) = read_and_check(&flags.files)? else { return Ok(ExitCode::FAILURE) };
    println!("{} objects, no findings", set.len());
    Ok(ExitCode::SUCCESS)
}

pub(crate) fn diff(flags: &DiffFlags) -> Result<ExitCode> {
    let Some(new) = read_and_check(&flags.files.files)? else { return Ok(ExitCode::FAILURE) };
    let old = if let Some(operator) = flags.operator_flags() {
        let mut fetched = None;
        block_on(async {
            fetched = Some(operator::fetch(&operator).await?.1);
            Ok(ExitCode::SUCCESS)
        })?;
        fetched.context("cannot read the objects in force")?
    } else {
        match read_and_check(&flags.against)? {
            Some(old) => old,
            None => return Ok(ExitCode::FAILURE),
        }
    };
    for change in old.diff(&new) {
        print_change(&old, &change);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_change(old: &ObjectSet, change: &Change) {
    let known = old.record(change.kind(), change.name()).is_some();
    match change {
        Change::Upsert(record) => {
            let sign = if known { '~' } else { '+' };
            println!("{sign} {} {}", record.kind, String::from_utf8_lossy(&record.body));
        }
        Change::Remove { kind, name } => println!("- {kind} {name}"),
    }
}

pub(crate) fn keygen() -> Result<ExitCode> {
    let secret = generate_secret().context("cannot get random bytes")?;
    println!("secret: {}", secret.expose());
    println!("digest: {}", secret.digest());
    Ok(ExitCode::SUCCESS)
}
