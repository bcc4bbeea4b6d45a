//! Paths of the administration API.

use std::sync::Arc;

use axum::{
    Router,
    extract::DefaultBodyLimit,
    middleware,
    routing::{get, post},
};

use crate::{Control, Problem, auth, docs, views};

/// Largest body of a request, in bytes.
pub const MAX_BODY: usize = 256 << 10;

/// The administration API over `control`. Every path wants an operator's key.
pub fn router(control: Arc<dyn Control>) -> Router {
    Router::new()
        .route("/admin/v1/status", get(views::status))
        .route("/admin/v1/events", get(views::events))
        .route("/admin/v1/drain", post(views::drain))
        .route("/admin/v1/rollouts/{model}", get(views::rollout))
        .route("/admin/v1/{kind}", get(docs::list))
        .route("/admin/v1/{kind}/{name}", get(docs::get).put(docs::put).delete(docs::remove))
        .fallback(async || Problem::NotFound)
        .method_not_allowed_fallback(async || Problem::Method)
        .layer(middleware::from_fn_with_state(control.clone(), auth::require_operator))
        .layer(DefaultBodyLimit::max(MAX_BODY))
        .with_state(control)
}
