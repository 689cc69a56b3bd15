//! Building sets from records, comparing sets, and applying changes to them.

use std::sync::Arc;

use crate::finding::{Finding, Findings};
use crate::kind::{Kind, Name};
use crate::object::{Object, Objects, for_each_kind};
use crate::record::{Change, Record, decode, encode};
use crate::set::ObjectSet;
use crate::set_rules::{Issue, Scope, verify};
use crate::unparsed::UnparsedNames;

/// Builds a set from records and checks it.
pub(crate) fn from_records(records: &[Record]) -> Result<ObjectSet, Findings> {
    let mut objects = Objects::default();
    let mut findings = Vec::new();
    for_each_kind!(decode_kind(records, &mut objects, &mut findings));
    // Stop at malformed records, because references to them would be reported as unknown.
    Findings::into_result(findings)?;
    check_and_index(objects, &ObjectSet::default(), Scope::ALL, Vec::new())
}

fn decode_kind<T: Object>(records: &[Record], objects: &mut Objects, findings: &mut Vec<Finding>) {
    let mut decoded: Vec<T> = Vec::new();
    for record in records.iter().filter(|record| record.kind == T::KIND) {
        match decode(record) {
            Ok(object) => decoded.push(object),
            Err(message) => findings.push(object_finding(record.kind, &record.name, message)),
        }
    }
    decoded.sort_by(|a, b| a.name().cmp(b.name()));
    *T::list_mut(objects) = Arc::new(decoded);
}

/// Returns the changes that turn `old` into `new`, sorted by kind and name.
pub(crate) fn diff(old: &Objects, new: &Objects) -> Vec<Change> {
    let mut changes = Vec::new();
    for_each_kind!(diff_kind(old, new, &mut changes));
    changes
}

fn diff_kind<T: Object>(old: &Objects, new: &Objects, changes: &mut Vec<Change>) {
    if Arc::ptr_eq(T::list(old), T::list(new)) {
        return;
    }
    let remove = |object: &T| Change::Remove { kind: T::KIND, name: object.name().clone() };
    let mut old = T::list(old).iter().peekable();
    for object in T::list(new).iter() {
        while let Some(removed) = old.next_if(|o| o.name() < object.name()) {
            changes.push(remove(removed));
        }
        let same = old.next_if(|o| o.name() == object.name());
        if same != Some(object) {
            changes.push(Change::Upsert(encode(object)));
        }
    }
    changes.extend(old.map(remove));
}

/// Returns the set after `changes`, and checks the kinds that the changes may have broken.
pub(crate) fn apply(set: &ObjectSet, changes: &[Change]) -> Result<ObjectSet, Findings> {
    let mut objects = set.objects().clone();
    let mut findings = Vec::new();
    let mut scope = Scope::NONE;
    for_each_kind!(apply_kind(changes, &mut objects, &mut scope, &mut findings));
    check_and_index(objects, set, scope, findings)
}

fn apply_kind<T: Object>(
    changes: &[Change],
    objects: &mut Objects,
    scope: &mut Scope,
    findings: &mut Vec<Finding>,
) {
    let mut changes: Vec<_> = changes.iter().filter(|change| change.kind() == T::KIND).collect();
    if changes.is_empty() {
        return;
    }
    scope.add(T::KIND);
    changes.sort_by(|a, b| a.name().cmp(b.name()));
    let old = T::list(objects);
    let mut merged = Vec::with_capacity(old.len() + changes.len());
    let mut rest = old.as_slice();
    for group in changes.chunk_by(|a, b| a.name() == b.name()) {
        let name = group[0].name();
        let before = rest.partition_point(|object| object.name() < name);
        merged.extend_from_slice(&rest[..before]);
        rest = &rest[before..];
        let mut current = None;
        if let Some((first, others)) = rest.split_first()
            && first.name() == name
        {
            current = Some(first.clone());
            rest = others;
        }
        let existed = current.is_some();
        for change in group {
            if let Err(message) = apply_change(change, &mut current) {
                findings.push(object_finding(T::KIND, name, message));
            }
        }
        // Replacing an endpoint can break references to it, since it may serve less than before. For
        // other kinds only a removal does.
        if existed && (current.is_none() || T::KIND == Kind::Endpoint) {
            scope.add_referrers(T::KIND);
        }
        merged.extend(current);
    }
    merged.extend_from_slice(rest);
    *T::list_mut(objects) = Arc::new(merged);
}

/// Applies one change to an object.
///
/// # Errors
///
/// Returns the message of a finding if the record is malformed or the object to remove does not
/// exist. The object is unchanged then.
fn apply_change<T: Object>(change: &Change, current: &mut Option<T>) -> Result<(), String> {
    match change {
        Change::Upsert(record) => *current = Some(decode(record)?),
        Change::Remove { kind, name } => {
            if current.take().is_none() {
                return Err(format!("cannot remove unknown {kind} {name:?}"));
            }
        }
    }
    Ok(())
}

/// Builds the lookup tables and checks the kinds in `scope`.
fn check_and_index(
    objects: Objects,
    old: &ObjectSet,
    scope: Scope,
    mut findings: Vec<Finding>,
) -> Result<ObjectSet, Findings> {
    let index = old.index().update(old.objects(), &objects);
    for Issue { at, mut message, earlier } in
        verify(&objects, &index, &UnparsedNames::default(), scope)
    {
        if let Some(earlier) = earlier
            && name_of(&objects, earlier.kind, earlier.index)
                != name_of(&objects, at.kind, at.index)
        {
            let name = name_of(&objects, earlier.kind, earlier.index);
            message = format!("{message}, see {}/{name}", earlier.kind);
        }
        findings.push(object_finding(at.kind, &name_of(&objects, at.kind, at.index), message));
    }
    Findings::into_result(findings)?;
    Ok(ObjectSet::new(objects, index))
}

fn name_of(objects: &Objects, kind: Kind, index: usize) -> Name {
    fn get<T: Object>(objects: &Objects, kind: Kind, index: usize, name: &mut Name) {
        if T::KIND == kind {
            name.clone_from(T::list(objects)[index].name());
        }
    }
    let mut name = Name::default();
    for_each_kind!(get(objects, kind, index, &mut name));
    name
}

/// Creates a finding about an object from a record, which has no position in a file.
fn object_finding(kind: Kind, name: &str, message: String) -> Finding {
    Finding { file: format!("{kind}/{name}").into(), line: 0, column: 0, message }
}
