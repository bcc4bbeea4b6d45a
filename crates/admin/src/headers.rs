//! Headers of the administration API.

use axum::http::{HeaderMap, header};
use ident::{RequestId, Rev};

use crate::Problem;

/// Header with the id of a change, which the client generates: 32 hexadecimal digits.
pub const CHANGE_ID: &str = "change-id";

/// Returns the entity tag of a document at revision `rev`.
pub fn etag(rev: Rev) -> String {
    format!("\"{rev}\"")
}

/// Parses an entity tag into a revision; `None` if it is malformed.
pub fn parse_etag(text: &str) -> Option<Rev> {
    let digits = text.trim().strip_prefix("\"r")?.strip_suffix('"')?;
    digits.parse().ok().map(Rev)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the bearer token; `None` without one.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = text(headers, header::AUTHORIZATION.as_str())?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Returns the id of a change. Fails if the header is missing or malformed.
pub fn change_id(headers: &HeaderMap) -> Result<RequestId, Problem> {
    let id = text(headers, CHANGE_ID).and_then(|t| t.parse().ok());
    id.ok_or(Problem::BadRequest("send a header `change-id` of 32 hexadecimal digits".into()))
}

/// Returns the revision that a change replaces; `None` if it creates the document. Fails unless
/// exactly one of both headers is given, once.
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
