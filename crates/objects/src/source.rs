//! Reads TOML files and checks them as one set.

use std::mem;
use std::sync::Arc;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::finding::{Finding, Findings};
use crate::from_fields::FromFields;
use crate::index::Index;
use crate::kind::{Kind, UnknownKind};
use crate::object::{Objects, for_each_kind};
use crate::origin::{LineIndex, Origin};
use crate::set::ObjectSet;
use crate::set_rules::{Issue, Scope, verify};
use crate::table::{Fields, FileFinding, hint, quote, type_name};
use crate::unparsed::UnparsedNames;

/// Version of the file format that [`check`] reads.
const FORMAT: &str = "1";

/// One file of a set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Path of the file as shown in findings. The file is not opened.
    pub path: Arc<str>,
    /// Contents of the file.
    pub text: String,
}

impl Source {
    /// Creates a source from a path and the contents of the file.
    pub fn new(path: impl Into<Arc<str>>, text: impl Into<String>) -> Self {
        Self { path: path.into(), text: text.into() }
    }
}

/// Reads files and checks their objects as one set. An object may refer to objects of other files.
///
/// # Errors
///
/// Returns all findings of all files, sorted by file, line and column.
pub fn check(sources: &[Source]) -> Result<ObjectSet, Findings> {
    let lines: Vec<_> = sources.iter().map(LineIndex::new).collect();
    let mut reader = SetReader::default();
    let mut findings = Vec::new();
    for (file, source) in sources.iter().enumerate() {
        reader.read_file(file, &source.text);
        let found = mem::take(&mut reader.findings);
        findings.extend(found.into_iter().map(|(at, message)| lines[file].finding(at, message)));
    }
    for_each_kind!(sort_kind(&mut reader));
    let SetReader { objects, origins, unparsed, .. } = reader;
    let index = Index::build(&objects);
    for issue in verify(&objects, &index, &unparsed, Scope::ALL) {
        findings.extend(to_finding(issue, &origins, &lines));
    }
    Findings::into_result(findings)?;
    Ok(ObjectSet::new(objects, index))
}

/// Adds the position to an issue. Returns `None` if the field, or the one that it conflicts with,
/// has a finding already.
fn to_finding(issue: Issue, origins: &Origins, lines: &[LineIndex<'_>]) -> Option<Finding> {
    let origin = &origins[issue.at.kind as usize][issue.at.index];
    if origin.invalid.contains(&issue.at.field) {
        return None;
    }
    let mut message = issue.message;
    if let Some(at) = issue.earlier {
        let earlier = &origins[at.kind as usize][at.index];
        if earlier.invalid.contains(&at.field) {
            return None;
        }
        let offset = earlier.offset(at.field, at.element);
        message = format!("{message}, see {}", lines[earlier.file].describe(offset));
    }
    let offset = origin.offset(issue.at.field, issue.at.element);
    Some(lines[origin.file].finding(offset, message))
}

/// Source positions of the objects, by kind and then in the order of the objects.
type Origins = [Vec<Origin>; Kind::ALL.len()];

/// Collects objects, positions and findings of all files.
#[derive(Default)]
struct SetReader {
    objects: Objects,
    origins: Origins,
    /// Findings of the file that is being read.
    findings: Vec<FileFinding>,
    unparsed: UnparsedNames,
}

impl SetReader {
    fn read_file(&mut self, file: usize, text: &str) {
        let (root, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            self.unparsed.add(text);
        }
        for err in errors {
            let at = err.span().map_or(0, |span| span.start);
            self.findings.push((at, format!("malformed TOML: {}", err.message())));
        }
        let root = root.get_ref();
        self.read_format(root);
        for (key, value) in root {
            let name = key.get_ref().as_ref();
            if name == "format" {
                continue;
            }
            let at = key.span().start;
            match name.parse() {
                Ok(kind) => self.read_tables(kind, file, value),
                Err(UnknownKind) => {
                    let hint = hint(name, Kind::ALL.map(Kind::as_str));
                    self.findings.push((at, format!("unknown object kind {}{hint}", quote(name))));
                }
            }
        }
    }

    fn read_format(&mut self, root: &DeTable<'_>) {
        let Some(value) = root.get("format") else {
            self.findings.push((0, format!("missing `format = {FORMAT}`")));
            return;
        };
        let at = value.span().start;
        match value.get_ref().as_integer() {
            Some(integer) if integer.as_str() == FORMAT && integer.radix() == 10 => {}
            Some(_) => {
                let message = format!("unsupported format; this version reads format {FORMAT}");
                self.findings.push((at, message));
            }
            None => {
                let found = type_name(value.get_ref());
                let message = format!("`format` must be the integer {FORMAT}, not {found}");
                self.findings.push((at, message));
            }
        }
    }

    fn read_tables(&mut self, kind: Kind, file: usize, value: &Spanned<DeValue<'_>>) {
        let Some(array) = value.get_ref().as_array() else {
            let found = type_name(value.get_ref());
            let message = format!("`{kind}` must be written as `[[{kind}]]`, not as {found}");
            self.findings.push((value.span().start, message));
            return;
        };
        for element in array.iter() {
            let at = element.span().start;
            match element.get_ref().as_table() {
                Some(table) => {
                    for_each_kind!(read_table(self, kind, file, at, table));
                }
                None => {
                    let found = type_name(element.get_ref());
                    let message = format!("`{kind}` must be a table, not {found}");
                    self.findings.push((at, message));
                }
            }
        }
    }
}

fn read_table<T: FromFields>(
    reader: &mut SetReader,
    kind: Kind,
    file: usize,
    at: usize,
    table: &DeTable<'_>,
) {
    if T::KIND != kind {
        return;
    }
    let mut fields = Fields::new(table, file, at, &mut reader.findings);
    let object = T::from_fields(&mut fields);
    let origin = fields.finish(T::FIELDS);
    Arc::make_mut(T::list_mut(&mut reader.objects)).push(object);
    reader.origins[kind as usize].push(origin);
}

/// Sorts the objects of one kind by name. Duplicates stay in the order of the files.
fn sort_kind<T: FromFields>(reader: &mut SetReader) {
    let objects = mem::take(Arc::make_mut(T::list_mut(&mut reader.objects)));
    let origins = mem::take(&mut reader.origins[T::KIND as usize]);
    let mut pairs: Vec<_> = objects.into_iter().zip(origins).collect();
    pairs.sort_by(|(a, _), (b, _)| a.name().cmp(b.name()));
    let (objects, origins) = pairs.into_iter().unzip();
    *T::list_mut(&mut reader.objects) = Arc::new(objects);
    reader.origins[T::KIND as usize] = origins;
}
