//! Small fakes behind the decisions: engine, link and store.

mod engine;
mod link;
mod lru;

pub(crate) use self::{
    engine::{Engine, Job},
    link::Link,
    lru::Lru,
};
