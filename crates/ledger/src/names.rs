//! Validation of names and program paths, and the mapping of programs and calls to groups.

use std::sync::Arc;

/// Maximum number of parts in a program's path.
const MAX_PATH_PARTS: usize = 8;
/// Maximum length of one part of a program's path.
const MAX_PART_CHARS: usize = 64;
/// Maximum length of all other names and ids, such as those of teams, idempotency keys, instances
/// and publications.
const MAX_NAME_BYTES: usize = 256;

/// A program path or an idempotency key, qualified by its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TeamKey {
    pub(crate) team: Arc<str>,
    pub(crate) name: Arc<str>,
}

impl TeamKey {
    pub(crate) fn new(team: &str, name: &str) -> Self {
        Self { team: team.into(), name: name.into() }
    }

    /// The keys of the program's ancestors and of the program itself, root first.
    pub(crate) fn ancestors_and_self(&self) -> Vec<Self> {
        let ends = self.name.match_indices('/').map(|(at, _)| at);
        let ancestors =
            ends.map(|end| Self { team: self.team.clone(), name: self.name[..end].into() });
        ancestors.chain([self.clone()]).collect()
    }

    /// Lower bound of the keys of the program's descendants, which form a contiguous range.
    pub(crate) fn first_descendant(&self) -> Self {
        Self { team: self.team.clone(), name: format!("{}/", self.name).into() }
    }
}

/// Whether `path` has the form `root` or `root/child/..` and is within the size limits.
pub(crate) fn is_path(path: &str) -> bool {
    let part_ok = |part: &str| {
        (1..=MAX_PART_CHARS).contains(&part.len()) && part.bytes().all(|b| b.is_ascii_graphic())
    };
    path.split('/').count() <= MAX_PATH_PARTS && path.split('/').all(part_ok)
}

pub(crate) fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

/// Returns the group that holds `program` of `team`, from 1 to `groups`. Only the root of the path
/// is hashed, so a program and all its descendants are in one group.
///
/// # Panics
///
/// Panics if `groups` is 0.
pub fn group_of_program(team: &str, program: &str, groups: u32) -> u32 {
    let root = program.split('/').next().unwrap_or(program);
    hash_to_group("program", team, root, groups)
}

/// Returns the group that holds the call of `team` with `idempotency_key` and no program, from 1 to
/// `groups`.
///
/// # Panics
///
/// Panics if `groups` is 0.
pub fn group_of_key(team: &str, idempotency_key: &str, groups: u32) -> u32 {
    hash_to_group("key", team, idempotency_key, groups)
}

/// Hashes the length-prefixed parts to a group from 1 to `groups`. Data is stored by this result, so
/// the hash input must not change.
fn hash_to_group(domain: &str, team: &str, name: &str, groups: u32) -> u32 {
    let mut hasher = blake3::Hasher::new();
    for part in [domain, team, name] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    1 + (u64::from_be_bytes(prefix) % u64::from(groups)) as u32
}
