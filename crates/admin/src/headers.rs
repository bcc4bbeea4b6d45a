//! Headers of the administration API.

use axum::http::{HeaderMap, header};
use ident::{RequestId, Rev};

use crate::Problem;

/// Carries the id of a change, made by the client: 32 hexadecimal digits.
pub const CHANGE_ID: &str = "change-id";

/// The entity tag of a document made by `rev`.
pub fn etag(rev: Rev) -> String {
    format!("\"{rev}\"")
}

/// The revision an entity tag stands for.
pub fn parse_etag(text: &str) -> Option<Rev> {
    let digits = text.trim().strip_prefix("\"r")?.strip_suffix('"')?;
    digits.parse().ok().map(Rev)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The operator's key.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = text(headers, header::AUTHORIZATION.as_str())?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// The id of a change.
pub fn change_id(headers: &HeaderMap) -> Result<RequestId, Problem> {
    let id = text(headers, CHANGE_ID).and_then(|t| t.parse().ok());
    id.ok_or(Problem::BadRequest("send a header `change-id` of 32 hexadecimal digits".into()))
}

/// The revision a change builds on; `None` when it creates the document.
pub fn expected(headers: &HeaderMap) -> Result<Option<Rev>, Problem> {
    let given = |name| headers.get_all(name).iter().count();
    match (given(header::IF_MATCH), given(header::IF_NONE_MATCH)) {
        (1, 0) => {
            let rev = text(headers, header::IF_MATCH.as_str()).and_then(parse_etag);
            let detail = "`if-match` takes one entity tag such as \"r12\"";
            rev.map(Some).ok_or(Problem::BadRequest(detail.into()))
        }
        (0, 1) if text(headers, header::IF_NONE_MATCH.as_str()) == Some("*") => Ok(None),
        (0, 1) => Err(Problem::BadRequest("`if-none-match` takes only `*`".into())),
        (0, 0) => Err(Problem::PreconditionRequired),
        _ => Err(Problem::BadRequest("send one of `if-match` and `if-none-match`, once".into())),
    }
}
