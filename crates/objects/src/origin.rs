//! Where objects and their fields were written.

use std::sync::Arc;

use crate::finding::Finding;
use crate::source::Source;

/// Where one object was written. Offsets are bytes from the start of its file.
#[derive(Clone, Debug, Default)]
pub(crate) struct Origin {
    /// Index of the file.
    pub(crate) file: usize,
    /// Offset of the table header.
    pub(crate) header: usize,
    /// Offset of each field's value and of each element of an array, by field and element.
    pub(crate) fields: Vec<(&'static str, Option<usize>, usize)>,
    /// Fields that already have a finding and hold a substitute value.
    pub(crate) invalid: Vec<&'static str>,
}

impl Origin {
    /// Offset of a field or element, or of the nearest part around it that was written.
    pub(crate) fn offset(&self, field: &str, element: Option<usize>) -> usize {
        let find = |element| {
            self.fields.iter().find(|(f, e, _)| *f == field && *e == element).map(|(.., at)| *at)
        };
        find(element).or_else(|| find(None)).unwrap_or(self.header)
    }
}

/// Line starts of one file.
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

    /// Line and column from 1; the column counts characters.
    pub(crate) fn position(&self, offset: usize) -> (u32, u32) {
        let text = &self.source.text;
        let offset = text.floor_char_boundary(offset.min(text.len()));
        let line = self.starts.partition_point(|start| *start <= offset).max(1);
        let column = text[self.starts[line - 1]..offset].chars().count() + 1;
        (saturate(line), saturate(column))
    }

    pub(crate) fn finding(&self, offset: usize, message: String) -> Finding {
        let (line, column) = self.position(offset);
        Finding { file: Arc::clone(&self.source.path), line, column, message }
    }

    /// `file:line:column`.
    pub(crate) fn describe(&self, offset: usize) -> String {
        let (line, column) = self.position(offset);
        format!("{}:{line}:{column}", self.source.path)
    }
}

fn saturate(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
