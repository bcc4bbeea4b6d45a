//! Authentication of operators.

use std::sync::Arc;

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::Response,
};

use crate::{Control, Problem, headers};

/// Refuses requests without an operator's key, whatever their path.
pub async fn require_operator(
    State(control): State<Arc<dyn Control>>,
    request: Request,
    next: Next,
) -> Result<Response, Problem> {
    let token = headers::bearer(request.headers());
    if !token.is_some_and(|t| control.authorised(t)) {
        return Err(Problem::Unauthorised);
    }
    Ok(next.run(request).await)
}
