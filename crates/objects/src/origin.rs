//! Source positions of objects and their fields.

use std::sync::Arc;

use crate::finding::Finding;
use crate::source::Source;

/// Source position of one object. Offsets are in bytes from the start of the file.
#[derive(Clone, Debug, Default)]
pub(crate) struct Origin {
    /// Index of the file.
    pub(crate) file: usize,
    /// Offset of the table header.
    pub(crate) header: usize,
    /// Field, element and offset of each value. The element is `None` for the field as a whole, or
    /// the index of an element of an array.
    pub(crate) fields: Vec<(&'static str, Option<usize>, usize)>,
    /// Fields that have a finding already and hold a substitute value.
    pub(crate) invalid: Vec<&'static str>,
}

impl Origin {
    /// Offset of an element, or if it has none, of the field or of the table header.
    pub(crate) fn offset(&self, field: &str, element: Option<usize>) -> usize {
        let find = |element| {
            self.fields.iter().find(|(f, e, _)| *f == field && *e == element).map(|(.., at)| *at)
        };
        find(element).or_else(|| find(None)).unwrap_or(self.header)
    }
}

/// Offsets of the lines of one file, to convert byte offsets to line and column.
pub(crate) struct LineIndex<'a> {
    source: &'a Source,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    pub(crate) fn new(source: &'a Source) -> Self {
        let breaks = source.text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        let starts = std::iter::once(0).chain(breaks.map(|(i, _)| i + 1)).collect();
        Self { source, starts }
    }

    /// Returns line and column, from 1. The column counts characters.
    pub(crate) fn position(&self, offset: usize) -> (u32, u32) {
        let text = &self.source.text;
        let offset = text.floor_char_boundary(offset.min(text.len()));
        let line = self.starts.partition_point(|start| *start <= offset).max(1);
        let column = text[self.starts[line - 1]..offset].chars().count() + 1;
        (saturate(line), saturate(column))
    }

    /// Creates a finding at a byte offset.
    pub(crate) fn finding(&self, offset: usize, message: String) -> Finding {
        let (line, column) = self.position(offset);
        Finding { file: Arc::clone(&self.source.path), line, column, message }
    }

    /// Formats a byte offset as `file:line:column`.
    pub(crate) fn describe(&self, offset: usize) -> String {
        let (line, column) = self.position(offset);
        format!("{}:{line}:{column}", self.source.path)
    }
}

fn saturate(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
