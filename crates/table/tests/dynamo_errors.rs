//! Classification of the table service's answers, of missing ones and of connection failures.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use serde_json::{Value, json};
use table::{Dynamo, Expect, Table, TableError, Version, Write};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

/// Timeout of calls that are expected to end sooner.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// What the fake service does with each request.
#[derive(Clone)]
enum Reply {
    Json(u16, Value),
    Text(&'static str),
    NoAnswer,
    /// Each connection answers its first request and no further ones.
    OnePerConnection,
    /// Answers without length or chunks and closes the connection.
    Unframed(String),
    /// Closes the connection.
    Close,
}

/// The received requests, as pairs of operation and body.
type Seen = Arc<Mutex<Vec<(String, Value)>>>;

/// Reads one request. Returns `None` if the connection was closed.
async fn request(stream: &mut BufReader<TcpStream>) -> Option<(String, Value)> {
    let (mut target, mut len) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(n) = line.strip_prefix("content-length: ") {
            len = n.parse().unwrap();
        }
        if let Some(t) = line.strip_prefix("x-amz-target: dynamodb_20120810.") {
            target = t.to_owned();
        }
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await.ok()?;
    Some((target, serde_json::from_slice(&body).unwrap()))
}

async fn serve(stream: TcpStream, reply: Reply, seen: Seen) {
    let mut stream = BufReader::new(stream);
    let mut answered = 0;
    while let Some(one) = request(&mut stream).await {
        seen.lock().push(one);
        answered += 1;
        let (status, body) = match &reply {
            Reply::Json(status, body) => (*status, body.to_string()),
            Reply::Text(text) => (200, (*text).to_owned()),
            Reply::OnePerConnection if answered == 1 => (200, "{}".to_owned()),
            Reply::NoAnswer | Reply::OnePerConnection => continue,
            Reply::Unframed(body) => {
                let head = "HTTP/1.1 200 OK\r\ncontent-type: application/x-amz-json-1.0\r\n\r\n";
                stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
                return;
            }
            Reply::Close => return,
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/x-amz-json-1.0\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(body.as_bytes()).await.unwrap();
    }
}

async fn start(reply: Reply) -> (String, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let seen = Seen::default();
    let log = seen.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, reply.clone(), log.clone()));
        }
    });
    (url, seen)
}

fn put() -> Vec<Write> {
    let (part, sort) = ("p".into(), "s".into());
    vec![Write {
        part,
        sort,
        expect: Expect::Version(Version::first_era(3)),
        body: Some("{}".into()),
    }]
}

/// Returns the result of a commit and the number of requests that were sent.
async fn commit(reply: Reply, timeout: Duration) -> (Result<(), TableError>, usize) {
    let (url, seen) = start(reply).await;
    let t = Dynamo::new(&url, "conf", timeout).unwrap();
    let answer = tokio::time::timeout(CALL_TIMEOUT, t.commit(put())).await.unwrap();
    let n = seen.lock().len();
    (answer, n)
}

fn cancelled(code: &str) -> Reply {
    Reply::Json(
        400,
        json!({
            "__type": "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
            "Message": "cancelled",
            "CancellationReasons": [{"Code": "None"}, {"Code": code}],
        }),
    )
}

fn error(status: u16, name: &str) -> Reply {
    let kind = format!("com.amazonaws.dynamodb.v20120810#{name}");
    Reply::Json(status, json!({"__type": kind, "message": "no"}))
}

#[tokio::test]
async fn conflicts_and_throttling_are_definite() {
    let (answer, n) = commit(cancelled("ConditionalCheckFailed"), CALL_TIMEOUT).await;
    assert_eq!((answer, n), (Err(TableError::Conflict), 1));
    let (answer, _) = commit(cancelled("TransactionConflict"), CALL_TIMEOUT).await;
    assert_eq!(answer, Err(TableError::Conflict));
    let refusals = [
        cancelled("ThrottlingError"),
        error(400, "ThrottlingException"),
        error(400, "ProvisionedThroughputExceededException"),
    ];
    for reply in refusals {
        let (answer, n) = commit(reply, CALL_TIMEOUT).await;
        assert!(matches!(answer, Err(TableError::Refused(_))), "{answer:?}");
        assert_eq!(n, 1, "the SDK must not retry");
    }
}

#[tokio::test]
async fn refused_connection_is_definite() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let t = Dynamo::new(&url, "conf", CALL_TIMEOUT).unwrap();
    let answer = t.commit(put()).await;
    assert!(matches!(answer, Err(TableError::Refused(_))), "{answer:?}");
    assert!(Dynamo::new("https://x", "conf", CALL_TIMEOUT).is_err());
}

#[tokio::test]
async fn other_errors_are_not_definite() {
    let replies = [
        error(500, "InternalServerError"),
        error(503, "ServiceUnavailable"),
        error(400, "TransactionInProgressException"),
        Reply::Text("not json"),
        Reply::Close,
    ];
    for reply in replies {
        let (answer, n) = commit(reply, CALL_TIMEOUT).await;
        assert!(!answer.clone().unwrap_err().definite(), "{answer:?}");
        assert_eq!(n, 1, "the SDK must not retry");
    }
    let (answer, n) = commit(Reply::NoAnswer, Duration::from_millis(200)).await;
    assert!(matches!(answer, Err(TableError::Unknown(_))), "{answer:?}");
    assert_eq!(n, 1);
}

#[tokio::test]
async fn unresponsive_connection_is_not_reused() {
    let (url, _) = start(Reply::OnePerConnection).await;
    let t = Dynamo::new(&url, "conf", Duration::from_secs(2)).unwrap();
    t.commit(put()).await.unwrap();
    let unanswered = t.commit(put()).await;
    assert!(matches!(unanswered, Err(TableError::Unknown(_))), "{unanswered:?}");
    t.commit(put()).await.unwrap();
}

#[tokio::test]
async fn requests_match_dynamodb_protocol() {
    let (url, seen) = start(Reply::Json(200, json!({}))).await;
    let t = Dynamo::new(&url, "conf", CALL_TIMEOUT).unwrap();
    t.commit(put()).await.unwrap();
    let delete = Write { expect: Expect::Absent, body: None, ..put().remove(0) };
    t.commit(vec![delete]).await.unwrap();
    assert_eq!(t.get("p", "s").await.unwrap(), None);
    assert!(t.range("p", "a", 7).await.unwrap().is_empty());
    let seen = seen.lock();
    let put = &seen[0].1["TransactItems"][0]["Put"];
    assert_eq!(put["ConditionExpression"], "ver = :v");
    assert_eq!(put["ExpressionAttributeValues"], json!({":v": {"N": "3"}}));
    assert_eq!(put["Item"]["ver"], json!({"N": "4"}));
    assert_eq!(put["Item"]["body"], json!({"S": "{}"}));
    let delete = &seen[1].1["TransactItems"][0]["Delete"];
    assert_eq!(delete["ConditionExpression"], "attribute_not_exists(pk)");
    let token = |i: usize| seen[i].1["ClientRequestToken"].as_str().unwrap().to_owned();
    assert_ne!(token(0), token(1), "each commit has its own client token");
    assert_eq!((&*seen[2].0, &seen[2].1["ConsistentRead"]), ("getitem", &json!(true)));
    assert_eq!(seen[3].1["KeyConditionExpression"], "pk = :p AND sk > :s");
    assert_eq!((&seen[3].1["Limit"], &seen[3].1["ConsistentRead"]), (&json!(7), &json!(true)));
}

#[tokio::test]
async fn items_are_parsed() {
    let item = json!({
        "pk": {"S": "p"}, "sk": {"S": "s"}, "ver": {"N": "9"}, "body": {"S": "x"}, "ttl": {"N": "1"}
    });
    let (url, _) = start(Reply::Json(200, json!({"Item": item, "Items": [item]}))).await;
    let t = Dynamo::new(&url, "conf", CALL_TIMEOUT).unwrap();
    let row = t.get("p", "s").await.unwrap().unwrap();
    assert_eq!((row.version, &*row.body), (Version::first_era(9), "x"));
    assert_eq!(t.range("p", "", 1).await.unwrap(), [row]);
    let (url, _) = start(Reply::Json(200, json!({"Item": {"pk": {"S": "p"}}}))).await;
    let t = Dynamo::new(&url, "conf", CALL_TIMEOUT).unwrap();
    assert!(matches!(t.get("p", "s").await, Err(TableError::Malformed(_))));
}

#[tokio::test]
async fn an_answer_cut_at_any_byte_is_malformed() {
    let row = json!({"Item": {"pk": {"S": "p"}, "sk": {"S": "s"}, "ver": {"N": "1"}, "body": {"S": "b"}}});
    let page = json!({"Items": [row["Item"]]});
    for document in [row.to_string(), page.to_string(), "{}".to_owned()] {
        for cut in 0..=document.len() {
            let (url, _) = start(Reply::Unframed(document[..cut].to_owned())).await;
            let table = Dynamo::new(&url, "t", CALL_TIMEOUT).unwrap();
            let whole = cut == document.len();
            let case = format!("{document} cut at {cut}");
            assert_eq!(table.get("p", "s").await.is_ok(), whole, "{case}");
            assert_eq!(table.range("p", "", 5).await.is_ok(), whole, "{case}");
        }
    }
}
