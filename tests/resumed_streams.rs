//! Guards against streams in which a caller finds the error of the server that was to resume them,
//! or that seem complete although nothing has resumed them.

#[path = "support/platform.rs"]
mod platform;

use platform::{HOST, KEY, RelayFleet, config};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Sends a call with an id that ends in `name`, and returns all bytes until the front closes the connection.
async fn bytes_of(fleet: &RelayFleet, path: &str, name: &str) -> String {
    let mut stream =
        TcpStream::connect(fleet.front_address(0)).await.expect("failed to connect to the front");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: call-{name}\r\napi-key: {KEY}\r\n\
         connection: close\r\ncontent-length: 2\r\n\r\nin"
    );
    stream.write_all(head.as_bytes()).await.expect("failed to send");
    let mut bytes = Vec::new();
    // A reset ends the response, too.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).expect("a response in UTF-8")
}

#[tokio::test(flavor = "multi_thread")]
async fn error_of_next_server() {
    let mut config = config(3, &[KEY]);
    config["routes"][2]["canResume"] = true.into();
    let fleet = RelayFleet::start(&config).await;
    let last_chunk = "\r\n0\r\n\r\n";
    let text = bytes_of(&fleet, "/stream/broken/then/whole", "whole").await;
    assert!(text.contains("out1") && text.contains("id: 2\ndata: out2\n\n"), "{text}");
    assert!(text.ends_with(last_chunk), "{text}");
    for next in ["error", "refusal", "unsealed", "foreign"] {
        let text = bytes_of(&fleet, &format!("/stream/broken/then/{next}"), next).await;
        assert!(text.starts_with("HTTP/1.1 200") && text.contains("out1"), "{next}: {text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{next}: {text}");
        assert!(!text.contains("error of") && !text.contains("id: 2"), "{next}: {text}");
        assert!(!text.ends_with(last_chunk), "{next} ends as if it were complete: {text}");
    }
}
