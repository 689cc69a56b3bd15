//! Data folders that were just initialised.

use poplarspan_agreement::{FileStore, Storage, StoreOptions};
use poplarspan_server::init_data_folder;

/// A folder can be opened as soon as it has been initialised.
#[tokio::test]
async fn opens_at_once() {
    let root = tempfile::tempdir().expect("temporary folder");
    for round in 0..50 {
        let path = root.path().join(round.to_string());
        init_data_folder(&path, 1, &[1]).await.expect("a new folder");
        let store = FileStore::open(&path.join("log"), StoreOptions::default()).expect("unlocked");
        store.close().await.expect("closed");
    }
}
