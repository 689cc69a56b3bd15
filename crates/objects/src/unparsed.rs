//! Names in malformed files.
//!
//! The parser skips part of a malformed file. References to skipped objects would be reported as
//! unknown and hide the actual error, so names are also collected from the raw text.

/// Names that the text of malformed files seems to define, sorted.
#[derive(Debug, Default)]
pub(crate) struct UnparsedNames {
    names: Vec<String>,
    /// Models and services that endpoints serve.
    services: Vec<String>,
}

impl UnparsedNames {
    /// Adds the names in the text of a malformed file.
    pub(crate) fn add(&mut self, text: &str) {
        let mut in_endpoint = false;
        for line in text.lines().map(str::trim_start) {
            if line.starts_with('[') {
                in_endpoint = line.contains("endpoint");
            }
            let Some((field, value)) = line.split_once('=') else {
                continue;
            };
            match field.trim_end() {
                "name" => self.names.extend(words(value)),
                "models" | "service" if in_endpoint => self.services.extend(words(value)),
                _ => {}
            }
        }
        self.names.sort_unstable();
        self.services.sort_unstable();
    }

    /// Whether a malformed file seems to define an object with this name.
    pub(crate) fn has_name(&self, name: &str) -> bool {
        contains(&self.names, name)
    }

    /// Whether an endpoint in a malformed file seems to serve this model or service.
    pub(crate) fn has_service(&self, name: &str) -> bool {
        contains(&self.services, name)
    }
}

fn contains(sorted: &[String], name: &str) -> bool {
    sorted.binary_search_by(|s| s.as_str().cmp(name)).is_ok()
}

/// Splits `text` at all characters other than ASCII letters, digits, `.`, `_` and `-`.
fn words(text: &str) -> impl Iterator<Item = String> {
    let is_other = |c: char| !c.is_ascii_alphanumeric() && !matches!(c, '.' | '_' | '-');
    text.split(is_other).filter(|word| !word.is_empty()).map(str::to_owned)
}
