//! The table service commits either all writes of a transaction or none, and once per token. It
//! refuses calls over its rate limits.

mod common;

use bytes::Bytes;
use common::Fake;
use fakes::{Control, TableConfig};
use serde_json::{Value, json};

async fn table(config: TableConfig) -> Fake {
    Fake::start(fakes::table(config, Control::new(Default::default()))).await
}

async fn call(table: &Fake, name: &str, body: &Value) -> Result<(u16, Value), rig::HttpError> {
    let target = format!("DynamoDB_20120810.{name}");
    let headers = [("x-amz-target", &*target), ("content-type", "application/x-amz-json-1.0")];
    let url = format!("{}/", table.url);
    let body = Bytes::from(body.to_string());
    let reply = table.http.send("POST".parse().unwrap(), &url, &headers, body).await?;
    assert_eq!(reply.header("content-type"), Some("application/x-amz-json-1.0"));
    Ok((reply.status.as_u16(), reply.json()?))
}

fn put(sort: &str, old: Option<u64>) -> Value {
    let ver = old.unwrap_or(0) + 1;
    let item = json!({"pk": {"S": "p"}, "sk": {"S": sort}, "ver": {"N": ver.to_string()},
        "body": {"S": "{}"}});
    match old {
        None => json!({"Put": {"TableName": "t", "Item": item,
            "ConditionExpression": "attribute_not_exists(pk)"}}),
        Some(v) => json!({"Put": {"TableName": "t", "Item": item,
            "ConditionExpression": "ver = :v",
            "ExpressionAttributeValues": {":v": {"N": v.to_string()}}}}),
    }
}

fn transaction(items: &[Value]) -> Value {
    json!({"TransactItems": items})
}

async fn sorts(table: &Fake, after: &str, limit: u64) -> (Vec<String>, bool) {
    let query = json!({"TableName": "t", "KeyConditionExpression": "pk = :p AND sk > :s",
        "ExpressionAttributeValues": {":p": {"S": "p"}, ":s": {"S": after}},
        "ConsistentRead": true, "Limit": limit});
    let (status, body) = call(table, "Query", &query).await.unwrap();
    assert_eq!(status, 200, "{body}");
    let items = body["Items"].as_array().unwrap();
    let keys = items.iter().map(|i| i["sk"]["S"].as_str().unwrap().to_owned()).collect();
    (keys, body.get("LastEvaluatedKey").is_some())
}

#[tokio::test]
async fn transaction_is_all_or_nothing() {
    let table = table(TableConfig::default()).await;
    let first = transaction(&[put("a", None), put("b", None)]);
    assert_eq!(call(&table, "TransactWriteItems", &first).await.unwrap().0, 200);
    let second = transaction(&[put("c", None), put("b", Some(9)), put("a", Some(1))]);
    let (status, body) = call(&table, "TransactWriteItems", &second).await.unwrap();
    assert_eq!(status, 400);
    assert!(body["__type"].as_str().unwrap().ends_with("#TransactionCanceledException"));
    let codes: Vec<_> = body["CancellationReasons"].as_array().unwrap().iter().collect();
    let codes: Vec<_> = codes.iter().map(|r| r["Code"].as_str().unwrap()).collect();
    assert_eq!(codes, ["None", "ConditionalCheckFailed", "None"]);
    assert_eq!(sorts(&table, " ", 10).await, (vec!["a".to_owned(), "b".to_owned()], false));
    assert_eq!(sorts(&table, " ", 1).await, (vec!["a".to_owned()], true));
    assert_eq!(sorts(&table, "a", 10).await, (vec!["b".to_owned()], false));
    let get = json!({"TableName": "t", "Key": {"pk": {"S": "p"}, "sk": {"S": "a"}}});
    let (_, row) = call(&table, "GetItem", &get).await.unwrap();
    assert_eq!(row["Item"]["ver"]["N"], "1");
}

#[tokio::test]
async fn transaction_with_lost_answer_commits_once() {
    let table = table(TableConfig::default()).await;
    table.set_faults(json!({"lose_answers": 1}));
    let mut write = transaction(&[put("a", None)]);
    write["ClientRequestToken"] = "token".into();
    assert!(call(&table, "TransactWriteItems", &write).await.is_err());
    assert_eq!(sorts(&table, " ", 10).await.0, ["a"]);
    // A repeat with the same token succeeds without a new commit. With another token the condition
    // fails, because the row exists.
    assert_eq!(call(&table, "TransactWriteItems", &write).await.unwrap().0, 200);
    write["ClientRequestToken"] = "another".into();
    assert_eq!(call(&table, "TransactWriteItems", &write).await.unwrap().0, 400);
    let stats: Value = table.get("/_stats").await.json().unwrap();
    assert_eq!(stats["writes"]["total"], 2);
}

#[tokio::test]
async fn calls_over_rate_limit_are_refused() {
    let table = table(TableConfig { write_rate: Some(0), read_rate: Some(0) }).await;
    let (status, body) =
        call(&table, "TransactWriteItems", &transaction(&[put("a", None)])).await.unwrap();
    assert_eq!(status, 400);
    assert!(body["__type"].as_str().unwrap().ends_with("#ThrottlingException"));
    let get = json!({"TableName": "t", "Key": {"pk": {"S": "p"}, "sk": {"S": "a"}}});
    let (_, body) = call(&table, "GetItem", &get).await.unwrap();
    let kind = body["__type"].as_str().unwrap();
    assert!(kind.ends_with("#ProvisionedThroughputExceededException"));
}
