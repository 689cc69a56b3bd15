//! Reads the fields of a TOML table and reports missing, unknown and malformed ones.

use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::kind::Name;
use crate::nearest::nearest;
use crate::origin::Origin;
use crate::secret::looks_like_secret;

/// Byte offset and message of a finding in one file.
pub(crate) type FileFinding = (usize, String);

/// Reader for the fields of one table.
pub(crate) struct Fields<'a, 'i> {
    table: &'a DeTable<'i>,
    origin: Origin,
    findings: &'a mut Vec<FileFinding>,
}

impl<'a, 'i> Fields<'a, 'i> {
    pub(crate) fn new(
        table: &'a DeTable<'i>,
        file: usize,
        header: usize,
        findings: &'a mut Vec<FileFinding>,
    ) -> Self {
        Self { table, origin: Origin { file, header, ..Origin::default() }, findings }
    }

    /// Reports fields that are not in `known`, and returns the source position of the object.
    pub(crate) fn finish(self, known: &[&'static str]) -> Origin {
        for (key, _) in self.table {
            let name = key.get_ref().as_ref();
            if !known.contains(&name) {
                let hint = hint(name, known.iter().copied());
                let message = format!("unknown field {}{hint}", quote(name));
                self.findings.push((key.span().start, message));
            }
        }
        self.origin
    }

    pub(crate) fn has(&self, field: &str) -> bool {
        self.table.contains_key(field)
    }

    /// Returns the value of a field and records its position.
    fn get(&mut self, field: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        let value = self.table.get(field)?;
        self.origin.fields.push((field, None, value.span().start));
        Some(value)
    }

    /// Reports a finding about a field and marks the field as invalid.
    pub(crate) fn report(&mut self, field: &'static str, element: Option<usize>, message: String) {
        self.findings.push((self.origin.offset(field, element), message));
        self.origin.invalid.push(field);
    }

    fn missing(&mut self, field: &'static str) {
        self.report(field, None, format!("missing field `{field}`"));
    }

    fn wrong_type(&mut self, field: &'static str, expected: &str, found: &DeValue<'_>) {
        let message = format!("`{field}` must be {expected}, not {}", type_name(found));
        self.report(field, None, message);
    }

    /// Reports `text` if it looks like a secret, and returns whether it does.
    fn report_secret(&mut self, field: &'static str, element: Option<usize>, text: &str) -> bool {
        let is_secret = looks_like_secret(text);
        if is_secret {
            let message = format!("plaintext secret in `{field}`; publish only its digest");
            self.report(field, element, message);
        }
        is_secret
    }

    /// Reads a string. `None` if the field is absent or a finding was reported.
    pub(crate) fn text(&mut self, field: &'static str, expected: &str) -> Option<&'a str> {
        let value = self.get(field)?.get_ref();
        let Some(text) = value.as_str() else {
            self.wrong_type(field, expected, value);
            return None;
        };
        (!self.report_secret(field, None, text)).then_some(text)
    }

    /// Reads a required string. Empty if a finding was reported.
    pub(crate) fn require_text(&mut self, field: &'static str) -> Arc<str> {
        if !self.has(field) {
            self.missing(field);
        }
        self.text(field, "a string").unwrap_or_default().into()
    }

    /// Reads an optional name. `None` only if the field is absent; empty if a finding was reported.
    pub(crate) fn optional_name(&mut self, field: &'static str) -> Option<Name> {
        let has = self.has(field);
        let text = self.text(field, "a string").unwrap_or_default();
        has.then(|| text.into())
    }

    /// Reads a value that is written as a string, such as a rate. `expected` describes it in the
    /// finding about a wrong type.
    pub(crate) fn parsed<T>(&mut self, field: &'static str, expected: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.parsed_with(field, expected, T::from_str)
    }

    /// Like [`Self::parsed`], with a parse function.
    pub(crate) fn parsed_with<T, E: Display>(
        &mut self,
        field: &'static str,
        expected: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let text = self.text(field, expected)?;
        parse(text).map_err(|err| self.report(field, None, format!("`{field}`: {err}"))).ok()
    }

    /// Like [`Self::parsed`], but a missing field is reported.
    pub(crate) fn require_parsed<T>(&mut self, field: &'static str, expected: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if !self.has(field) {
            self.missing(field);
        }
        self.parsed(field, expected)
    }

    /// Reads a required string that must be one of `words`, and returns the value of that word.
    pub(crate) fn keyword<T: Copy>(
        &mut self,
        field: &'static str,
        words: &[(&str, T)],
    ) -> Option<T> {
        if !self.has(field) {
            self.missing(field);
        }
        let text = self.text(field, "a string")?;
        let found = words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        if found.is_none() {
            let expected: Vec<_> = words.iter().map(|(word, _)| format!("{word:?}")).collect();
            let message = format!("`{field}` must be {}, not {text:?}", expected.join(" or "));
            self.report(field, None, message);
        }
        found
    }

    /// Reads an integer without a unit. `None` if the field is absent or a finding was reported.
    pub(crate) fn integer<T: TryFrom<u64>>(&mut self, field: &'static str) -> Option<T> {
        let value = self.get(field)?.get_ref();
        let Some(integer) = value.as_integer() else {
            self.wrong_type(field, "an integer without a unit", value);
            return None;
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        let number = number.and_then(|n| T::try_from(n).ok());
        if number.is_none() {
            let message = format!("`{field}` is {}, out of range", integer.as_str());
            self.report(field, None, message);
        }
        number
    }

    /// Like [`Self::integer`], but a missing field is reported.
    pub(crate) fn require_integer<T: TryFrom<u64>>(&mut self, field: &'static str) -> Option<T> {
        if !self.has(field) {
            self.missing(field);
        }
        self.integer(field)
    }

    /// Reads a boolean. `false` if the field is absent or a finding was reported.
    pub(crate) fn boolean(&mut self, field: &'static str) -> bool {
        let Some(value) = self.get(field) else {
            return false;
        };
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            self.wrong_type(field, "true or false", value.get_ref());
        }
        flag.unwrap_or_default()
    }

    /// Reads a boolean (`Ok`) or a sorted list of strings (`Err`). `None` if the field is absent or
    /// a finding was reported.
    pub(crate) fn boolean_or_list(
        &mut self,
        field: &'static str,
    ) -> Option<Result<bool, Vec<Arc<str>>>> {
        match self.table.get(field)?.get_ref() {
            DeValue::Boolean(flag) => {
                self.get(field);
                Some(Ok(*flag))
            }
            DeValue::Array(_) => self.list(field).map(Err),
            value => {
                self.get(field);
                self.wrong_type(field, "true, false or an array of methods", value);
                None
            }
        }
    }

    /// Reads a list of strings and sorts it. `None` if the field is absent or a finding was reported.
    pub(crate) fn list(&mut self, field: &'static str) -> Option<Vec<Arc<str>>> {
        let value = self.get(field)?.get_ref();
        let Some(array) = value.as_array() else {
            self.wrong_type(field, "an array of strings", value);
            return None;
        };
        let mut elements = Vec::with_capacity(array.len());
        let mut complete = true;
        for element in array.iter() {
            let at = element.span().start;
            match element.get_ref().as_str() {
                Some(text) if looks_like_secret(text) => {
                    let message = format!("plaintext secret in `{field}`");
                    self.findings.push((at, message));
                    complete = false;
                }
                Some(text) => elements.push((Arc::<str>::from(text), at)),
                None => {
                    let found = type_name(element.get_ref());
                    let message = format!("elements of `{field}` must be strings, not {found}");
                    self.findings.push((at, message));
                    complete = false;
                }
            }
        }
        elements.sort();
        if !complete {
            self.origin.invalid.push(field);
            return None;
        }
        let places = elements.iter().enumerate().map(|(i, (_, at))| (field, Some(i), *at));
        self.origin.fields.extend(places);
        Some(elements.into_iter().map(|(element, _)| element).collect())
    }

    /// Whether the field has a finding.
    pub(crate) fn is_invalid(&self, field: &str) -> bool {
        self.origin.invalid.contains(&field)
    }
}

/// Name of a value's type with its article, for messages.
pub(crate) fn type_name(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "an integer",
        DeValue::Float(_) => "a float",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date or time",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
    }
}

/// Returns a suggestion among `candidates` to append to a message, or an empty string.
pub(crate) fn hint<'c>(name: &str, candidates: impl IntoIterator<Item = &'c str>) -> String {
    let near = nearest(name, candidates);
    near.map(|near| format!("; did you mean `{near}`?")).unwrap_or_default()
}

/// Quotes a TOML key for a message. A key that looks like a secret is not shown.
pub(crate) fn quote(key: &str) -> String {
    if looks_like_secret(key) { "`ps_..`".to_owned() } else { format!("`{}`", key.escape_debug()) }
}
