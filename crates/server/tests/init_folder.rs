//! Initialisation of data folders.

use poplarspan_agreement::{FileStore, Storage, StoreOptions};
use poplarspan_server::init_data_folder;

/// The log can be opened as soon as `init_data_folder` has returned. Fails if the function returns
/// before the store has released the lock on the folder.
#[tokio::test]
async fn opens_at_once() {
    let root = tempfile::tempdir().expect("cannot create a temporary folder");
    for round in 0..50 {
        let path = root.path().join(round.to_string());
        init_data_folder(&path, 1, &[1]).await.expect("cannot initialise the folder");
        let store = FileStore::open(&path.join("log"), StoreOptions::default())
            .expect("cannot open the log");
        store.close().await.expect("cannot close the log");
    }
}
