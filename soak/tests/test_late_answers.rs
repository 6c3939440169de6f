//! Tests of the store's stand-in that executes calls at once and answers them late.

use std::time::Duration;

use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::kv::LateAnswers;
use parsleywall_standins::platform_store::serve_platform_store;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const HOUR: Duration = Duration::from_secs(3_600);

#[test]
fn test_late_answers_follow_from_the_seed() {
    let draw = |seed| -> Vec<Duration> {
        let mut late = LateAnswers::new("/seg/", HOUR, seed);
        let keys = ["job/j/seg/00000".to_owned()];
        (0..20).map(|_| late.draw(&keys)).collect()
    };
    assert_eq!(draw(1), draw(1));
    assert_ne!(draw(1), draw(2));
    assert!(draw(1).iter().all(|delay| *delay <= HOUR));
}

#[test]
fn test_late_answers_of_some_keys_only() {
    let mut late = LateAnswers::new("/seg/", HOUR, 1);
    assert_eq!(late.draw(&["open/j/owner".to_owned()]), Duration::ZERO);
    assert_eq!(late.draw(&[]), Duration::ZERO);
    let mut all = LateAnswers::new("", HOUR, 1);
    assert!(all.draw(&[]) > Duration::ZERO);
}

#[tokio::test]
async fn test_late_write_takes_effect_at_once() {
    let kv = KvMemory::new();
    let late = LateAnswers::new("/seg/", HOUR, 1);
    *kv.faults.late_answers.lock().unwrap() = Some(late);
    let server = serve_platform_store(kv.clone()).await.unwrap();
    let mut client = TcpStream::connect(server.address()).await.unwrap();
    let body = r#"{"expected":[],"puts":[{"key":"job/j/seg/00000","value":"eA=="}],"remove":[]}"#;
    let request = format!(
        "POST /kv-txn HTTP/1.1\r\nhost: kv\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    client.write_all(request.as_bytes()).await.unwrap();
    let answer = tokio::spawn(async move { client.read_u8().await });
    while kv.value("job/j/seg/00000").is_none() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(!answer.is_finished());
    answer.abort();
}
