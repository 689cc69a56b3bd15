//! Records and changes, the form in which objects are sent between instances.

use bytes::Bytes;

use crate::kind::{Kind, Name};
use crate::object::Object;
use crate::secret::SECRET_PREFIX;

/// One object in encoded form.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: Name,
    /// The object as canonical JSON: fields in declared order, no white space, and all defaults
    /// written out.
    pub body: Bytes,
}

/// One difference between two sets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// Adds the object, or replaces the object with the same kind and name.
    Upsert(Record),
    /// Removes the object.
    Remove {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Name,
    },
}

impl Change {
    /// Kind of the object that changes.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Upsert(record) => record.kind,
            Self::Remove { kind, .. } => *kind,
        }
    }

    /// Name of the object that changes.
    pub fn name(&self) -> &Name {
        match self {
            Self::Upsert(record) => &record.name,
            Self::Remove { name, .. } => name,
        }
    }
}

/// Encodes an object.
pub(crate) fn encode<T: Object>(object: &T) -> Record {
    // This cannot fail, because object types contain only strings, integers, booleans and sequences
    // of them.
    let body = serde_json::to_vec(object).expect("serialize object to JSON");
    Record { kind: T::KIND, name: object.name().clone(), body: body.into() }
}

/// Decodes an object.
///
/// # Errors
///
/// Returns the message of a finding if the body is malformed or contains another name than the
/// record.
pub(crate) fn decode<T: Object>(record: &Record) -> Result<T, String> {
    let object: T = serde_json::from_slice(&record.body).map_err(|err| {
        // The parser's message may quote a value. A secret must not end up in a log.
        let detail = Some(err.to_string()).filter(|detail| !detail.contains(SECRET_PREFIX));
        let detail = detail.as_deref().unwrap_or("unexpected value");
        format!("malformed {} record: {detail}", record.kind)
    })?;
    if object.name() != &record.name {
        return Err(format!("the record's body names another {}", record.kind));
    }
    Ok(object)
}

/// Adds a record to a hasher. Each part is preceded by its length, so that different sequences of
/// records never hash the same bytes.
pub(crate) fn hash(record: &Record, hasher: &mut blake3::Hasher) {
    for part in [record.kind.as_str().as_bytes(), record.name.as_bytes(), &record.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
}
