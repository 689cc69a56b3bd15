//! Findings: the errors of a set with their positions.

use std::error;
use std::fmt;
use std::sync::Arc;

/// One error of a set, with its position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Path of the file; for records and changes, `kind/name` of the object.
    pub file: Arc<str>,
    /// Line, from 1; 0 when the object came from a record and has no position.
    pub line: u32,
    /// Column in characters, from 1; 0 when the object came from a record.
    pub column: u32,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return write!(f, "{}: error: {}", self.file, self.message);
        }
        write!(f, "{}:{}:{}: error: {}", self.file, self.line, self.column, self.message)
    }
}

/// All findings of a check, sorted by file, line and column. Never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Returns `Err` with the findings, sorted and without duplicates, or `Ok` if there are none.
    pub(crate) fn into_result(mut findings: Vec<Finding>) -> Result<(), Self> {
        if findings.is_empty() {
            return Ok(());
        }
        findings.sort();
        findings.dedup();
        Err(Self(findings))
    }

    /// Iterates over the findings by file, line and column.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// The findings, sorted by file, line and column.
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }
}

impl<'a> IntoIterator for &'a Findings {
    type Item = &'a Finding;
    type IntoIter = std::slice::Iter<'a, Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl IntoIterator for Findings {
    type Item = Finding;
    type IntoIter = std::vec::IntoIter<Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl fmt::Display for Findings {
    /// Writes one finding per line, without a final line break.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{finding}")?;
        }
        Ok(())
    }
}

impl error::Error for Findings {}
