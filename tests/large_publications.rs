//! Guards against publications that are acknowledged and never in force, or that stop the control
//! group, because they do not fit in a message between instances.

#[path = "support/platform.rs"]
mod platform;

use platform::{Call, KEY, RelayFleet, config, eventually};

/// Limit of a message between instances.
const MESSAGE_BYTES: usize = 16 << 20;

/// Waits until both fronts serve calls with `key`.
async fn wait_in_force(fleet: &RelayFleet, key: &str) {
    for front in 0..2 {
        eventually("the publication is in force", async || {
            let call = Call { key: Some(key), ..Call::default() };
            fleet.call(front, "/safe/x", "probe", call).await.status == 200
        })
        .await;
    }
}

/// A publication of any size is either refused at once or comes into force, and the next one does.
#[tokio::test(flavor = "multi_thread")]
async fn refused_or_in_force() {
    let fleet = RelayFleet::start(&config(1, &[KEY])).await;
    let sizes = [4 << 20, MESSAGE_BYTES / 2, MESSAGE_BYTES - 150, MESSAGE_BYTES, MESSAGE_BYTES + 1];
    for (version, size) in (2..).step_by(2).zip(sizes) {
        let key = format!("key-of-{version}");
        let mut large = config(version, &[KEY, &key]).to_string();
        large.push_str(&" ".repeat(size - large.len()));
        let (status, answer) = fleet.operator_request("PUT", "/-/config", large).await;
        match status {
            200 => wait_in_force(&fleet, &key).await,
            _ => assert_eq!(status, 413, "{size} bytes: {answer}"),
        }
        let key = format!("key-of-{}", version + 1);
        let next = config(version + 1, &[KEY, &key]);
        assert_eq!(fleet.publish(&next).await, 200, "after {size} bytes");
        wait_in_force(&fleet, &key).await;
    }
}
