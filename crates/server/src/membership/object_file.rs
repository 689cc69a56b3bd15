//! File with the last generation in force, so that a restart never loads an older generation.
//!
//! The file holds the BLAKE3 hash of the body, followed by the body.

use std::{
    fs::{self, File},
    io::Write,
    path::{Path, PathBuf},
    sync::Arc,
};

use anyhow::{Context, Result};
use bytes::Bytes;
use poplarspan_objects::ObjectSet;
use poplarspan_proto::peer;
use prost::Message;

use super::{decode_change, encode_change};

const FILE_NAME: &str = "objects.pb";
const CHECKSUM_BYTES: usize = 32;

/// Reads and replaces the object set in the data folder.
#[derive(Clone)]
pub(crate) struct ObjectFile {
    folder: PathBuf,
}

impl ObjectFile {
    pub(crate) fn new(folder: &Path) -> Self {
        Self { folder: folder.to_owned() }
    }

    /// Loads the saved generation and its objects. Returns generation 0 if there is no file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or decoded, or if its checksum does not match.
    pub(crate) fn load(&self) -> Result<(u64, ObjectSet)> {
        let path = self.folder.join(FILE_NAME);
        let buf = match fs::read(&path) {
            Ok(buf) => buf,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
                return Ok((0, ObjectSet::default()));
            }
            Err(e) => return Err(e).with_context(|| format!("cannot read {}", path.display())),
        };
        let (checksum, body) = buf
            .split_at_checked(CHECKSUM_BYTES)
            .with_context(|| format!("{} is too short to hold a checksum", path.display()))?;
        anyhow::ensure!(
            blake3::hash(body).as_bytes() == checksum,
            "{} does not match its checksum",
            path.display()
        );
        let reply = peer::ObjectsReply::decode(Bytes::copy_from_slice(body))?;
        let changes = reply.objects.iter().map(decode_change).collect::<Result<Vec<_>>>()?;
        let objects = ObjectSet::default().apply(&changes).map_err(|e| anyhow::anyhow!("{e}"))?;
        Ok((reply.generation, objects))
    }

    /// Replaces the saved set atomically: writes and syncs a temporary file, renames it, and syncs
    /// the folder.
    pub(crate) async fn save(&self, generation: u64, objects: Arc<ObjectSet>) -> Result<()> {
        let folder = self.folder.clone();
        tokio::task::spawn_blocking(move || write(&folder, generation, &objects)).await?
    }
}

fn write(folder: &Path, generation: u64, objects: &ObjectSet) -> Result<()> {
    let changes = ObjectSet::default().diff(objects);
    let reply =
        peer::ObjectsReply { generation, objects: changes.iter().map(encode_change).collect() };
    let body = reply.encode_to_vec();
    let temporary = folder.join(format!("{FILE_NAME}.new"));
    let mut f = File::create(&temporary)
        .with_context(|| format!("cannot create {}", temporary.display()))?;
    f.write_all(blake3::hash(&body).as_bytes())?;
    f.write_all(&body)?;
    f.sync_all()?;
    fs::rename(&temporary, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()?;
    Ok(())
}
