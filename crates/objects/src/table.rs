//! Reads the fields of one TOML table and reports what does not fit.

use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::kind::Name;
use crate::nearest::nearest;
use crate::origin::Origin;
use crate::secret::looks_like_secret;

/// A finding of one file: byte offset and message.
pub(crate) type FileFinding = (usize, String);

/// The fields of one table.
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

    /// Reports fields other than `known`, and returns where the object was written.
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

    fn get(&mut self, field: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        let value = self.table.get(field)?;
        self.origin.fields.push((field, None, value.span().start));
        Some(value)
    }

    /// Reports a finding at a field and marks its value as a substitute.
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

    /// Reports a secret in clear, and returns whether there was one.
    fn report_secret(&mut self, field: &'static str, element: Option<usize>, text: &str) -> bool {
        let is_secret = looks_like_secret(text);
        if is_secret {
            let message = format!("plaintext secret in `{field}`; publish only its digest");
            self.report(field, element, message);
        }
        is_secret
    }

    /// A string; `None` after a finding or when the field is absent.
    pub(crate) fn text(&mut self, field: &'static str, expected: &str) -> Option<&'a str> {
        let value = self.get(field)?.get_ref();
        let Some(text) = value.as_str() else {
            self.wrong_type(field, expected, value);
            return None;
        };
        (!self.report_secret(field, None, text)).then_some(text)
    }

    /// A required string; empty after a finding.
    pub(crate) fn require_text(&mut self, field: &'static str) -> Arc<str> {
        if !self.has(field) {
            self.missing(field);
        }
        self.text(field, "a string").unwrap_or_default().into()
    }

    /// An optional name.
    pub(crate) fn optional_name(&mut self, field: &'static str) -> Option<Name> {
        let has = self.has(field);
        let text = self.text(field, "a string").unwrap_or_default();
        has.then(|| text.into())
    }

    /// A value that is written as a string, such as a rate.
    pub(crate) fn parsed<T>(&mut self, field: &'static str, expected: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.parsed_with(field, expected, T::from_str)
    }

    /// As [`Self::parsed`], with a function.
    pub(crate) fn parsed_with<T, E: Display>(
        &mut self,
        field: &'static str,
        expected: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let text = self.text(field, expected)?;
        parse(text).map_err(|err| self.report(field, None, format!("`{field}`: {err}"))).ok()
    }

    /// A required value that is written as a string.
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

    /// One of several words.
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

    /// A number without unit.
    pub(crate) fn integer<T: TryFrom<u64>>(&mut self, field: &'static str) -> Option<T> {
        let value = self.get(field)?.get_ref();
        let Some(integer) = value.as_integer() else {
            self.wrong_type(field, "an integer without unit", value);
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

    /// A required number without unit.
    pub(crate) fn require_integer<T: TryFrom<u64>>(&mut self, field: &'static str) -> Option<T> {
        if !self.has(field) {
            self.missing(field);
        }
        self.integer(field)
    }

    /// A boolean, false when absent.
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

    /// A boolean or else a list of strings; `None` when absent or after a finding.
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

    /// A list of strings, sorted; `None` when absent or after a finding.
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

/// The type of a value, as part of a message.
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

/// A suggestion among `candidates`, as the end of a message.
pub(crate) fn hint<'c>(name: &str, candidates: impl IntoIterator<Item = &'c str>) -> String {
    let near = nearest(name, candidates);
    near.map(|near| format!("; did you mean `{near}`?")).unwrap_or_default()
}

/// A key of TOML in a message, without what may be a secret.
pub(crate) fn quote(key: &str) -> String {
    if looks_like_secret(key) { "`ps_..`".to_owned() } else { format!("`{}`", key.escape_debug()) }
}
