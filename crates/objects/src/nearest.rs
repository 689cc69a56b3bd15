//! Suggestions for misspelt names.

use crate::kind::MAX_NAME_BYTES;

/// Maximum edit distance between a name and its suggestion.
const MAX_EDIT_DISTANCE: usize = 3;

/// Returns the candidate with the smallest edit distance from `name`, the first one if several have
/// it. The distance is at most [`MAX_EDIT_DISTANCE`] and at most half the length of `name`.
///
/// Text longer than a valid name gets no suggestion, because the cost is quadratic in the length.
pub(crate) fn nearest<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    if name.len() > MAX_NAME_BYTES {
        return None;
    }
    let mut bound = MAX_EDIT_DISTANCE.min(name.len() / 2);
    let mut best = None;
    for candidate in candidates {
        if candidate.len().abs_diff(name.len()) > bound {
            continue;
        }
        let distance = edit_distance(name.as_bytes(), candidate.as_bytes());
        if distance < bound || (distance == bound && best.is_none()) {
            (best, bound) = (Some(candidate), distance);
        }
    }
    best
}

/// Levenshtein distance of two strings, counted in bytes.
fn edit_distance(a: &[u8], b: &[u8]) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.iter().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
