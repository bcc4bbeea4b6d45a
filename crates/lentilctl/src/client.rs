//! HTTP client of the instances' administration API.

mod change;
mod send;

use admin::{Problem, ProblemWire, plural};
use conf::DocKey;
use futures_util::future::join_all;
use hyper::Method;
use ident::Rev;
use serde::de::DeserializeOwned;
use serde_json::Value;

use self::send::{AdminRequest, Answer, Sender};
use crate::{config::Config, error::CommandError};

pub use self::change::ChangeRequest;

/// Sends requests to one instance, to one after the other, or to all.
pub struct Client {
    sender: Sender,
    admins: Vec<String>,
}

impl Client {
    /// Creates a client for the instances in `config`.
    pub fn new(config: Config) -> Self {
        let sender = Sender::new(config.key, config.timeout);
        Self { sender, admins: config.admins }
    }

    /// Base URLs of the instances' administration API, in the order of the command line.
    pub fn admins(&self) -> &[String] {
        &self.admins
    }

    /// Sends a request without a body to one instance and parses its answer.
    pub async fn send<T>(&self, admin: &str, method: Method, path: &str) -> Result<T, CommandError>
    where
        T: DeserializeOwned,
    {
        let answer = self.sender.send(admin, AdminRequest::new(method, path)).await;
        let answer =
            answer.map_err(|e| CommandError::Unreachable { reasons: vec![e.to_string()] })?;
        parse(admin, &answer)
    }

    /// Sends a GET request to all instances at the same time. The answers are in the order of
    /// [`Client::admins`].
    pub async fn get_all<T>(&self, path: &str) -> Vec<Result<T, CommandError>>
    where
        T: DeserializeOwned,
    {
        join_all(self.admins.iter().map(|a| self.send(a, Method::GET, path))).await
    }

    /// Sends a GET request to one instance after the other until one answers. An instance that is
    /// unavailable is skipped. The revision is that of the entity tag, if there is one.
    pub async fn get_any<T>(&self, path: &str) -> Result<(T, Option<Rev>), CommandError>
    where
        T: DeserializeOwned,
    {
        let mut reasons = Vec::new();
        for admin in &self.admins {
            match self.sender.send(admin, AdminRequest::new(Method::GET, path)).await {
                Err(e) => reasons.push(e.to_string()),
                Ok(answer) => match parse(admin, &answer) {
                    Err(CommandError::Refused(p @ Problem::Unavailable { .. })) => {
                        reasons.push(format!("{admin}: {p}"));
                    }
                    parsed => return parsed.map(|value| (value, answer.rev)),
                },
            }
        }
        Err(CommandError::Unreachable { reasons })
    }

    /// Reads a document: its fields and the revision that last changed it.
    pub async fn doc(&self, key: &DocKey) -> Result<(Value, Rev), CommandError> {
        match self.get_any(&doc_path(key)).await {
            Ok((value, Some(rev))) => Ok((value, rev)),
            Ok((_, None)) => {
                let detail = "no entity tag".into();
                Err(CommandError::MalformedAnswer {
                    admin: self.admins.join(", "),
                    status: 200,
                    detail,
                })
            }
            Err(CommandError::Refused(Problem::NotFound)) => {
                Err(CommandError::Missing { kind: key.kind, name: key.name.clone() })
            }
            Err(e) => Err(e),
        }
    }

    /// Like [`Client::doc`], but returns `None` if the document does not exist.
    pub async fn find(&self, key: &DocKey) -> Result<Option<(Value, Rev)>, CommandError> {
        match self.doc(key).await {
            Err(CommandError::Missing { .. }) => Ok(None),
            found => found.map(Some),
        }
    }
}

fn doc_path(key: &DocKey) -> String {
    format!("/admin/v1/{}/{}", plural(key.kind), key.name)
}

fn parse<T>(admin: &str, answer: &Answer) -> Result<T, CommandError>
where
    T: DeserializeOwned,
{
    let wrong = |detail| CommandError::MalformedAnswer {
        admin: admin.into(),
        status: answer.status,
        detail,
    };
    if answer.status < 300 {
        return serde_json::from_slice(&answer.body).map_err(|e| wrong(e.to_string()));
    }
    let wire: ProblemWire =
        serde_json::from_slice(&answer.body).map_err(|e| wrong(e.to_string()))?;
    Err(CommandError::Refused(Problem::try_from(wire).map_err(|e| wrong(e.to_string()))?))
}
