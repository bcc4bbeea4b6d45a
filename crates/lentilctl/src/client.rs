//! HTTP to the instances' administration API.

mod change;
mod send;

use admin::{Problem, ProblemWire, plural};
use conf::DocKey;
use futures_util::future::join_all;
use hyper::Method;
use ident::Rev;
use serde::de::DeserializeOwned;
use serde_json::Value;

use self::send::{Answer, Ask, Sender};
use crate::{config::Config, failure::Failure};

pub use self::change::Wanted;

/// Asks instances, one after the other or all.
pub struct Client {
    sender: Sender,
    admins: Vec<String>,
}

impl Client {
    /// A client of the instances that `config` names.
    pub fn new(config: Config) -> Self {
        let sender = Sender::new(config.key, config.timeout);
        Self { sender, admins: config.admins }
    }

    /// The instances' addresses.
    pub fn admins(&self) -> &[String] {
        &self.admins
    }

    /// Asks one instance.
    pub async fn one<T>(&self, admin: &str, method: Method, path: &str) -> Result<T, Failure>
    where
        T: DeserializeOwned,
    {
        let answer = self.sender.send(admin, Ask::plain(method, path)).await;
        let answer = answer.map_err(|e| Failure::Unreachable { reasons: vec![e.to_string()] })?;
        parse(admin, &answer)
    }

    /// Asks all instances at the same time; the answers are in the order of the addresses.
    pub async fn all<T>(&self, path: &str) -> Vec<Result<T, Failure>>
    where
        T: DeserializeOwned,
    {
        join_all(self.admins.iter().map(|a| self.one(a, Method::GET, path))).await
    }

    /// Asks the instances in turn until one answers.
    pub async fn any<T>(&self, path: &str) -> Result<(T, Option<Rev>), Failure>
    where
        T: DeserializeOwned,
    {
        let mut reasons = Vec::new();
        for admin in &self.admins {
            match self.sender.send(admin, Ask::plain(Method::GET, path)).await {
                Err(e) => reasons.push(e.to_string()),
                Ok(answer) => match parse(admin, &answer) {
                    Err(Failure::Refused(p @ Problem::Unavailable { .. })) => {
                        reasons.push(format!("{admin}: {p}"));
                    }
                    parsed => return parsed.map(|value| (value, answer.rev)),
                },
            }
        }
        Err(Failure::Unreachable { reasons })
    }

    /// A document's fields and the revision that made it.
    pub async fn doc(&self, key: &DocKey) -> Result<(Value, Rev), Failure> {
        match self.any(&path_of(key)).await {
            Ok((value, Some(rev))) => Ok((value, rev)),
            Ok((_, None)) => {
                let detail = "no entity tag".into();
                Err(Failure::Answer { admin: self.admins.join(", "), status: 200, detail })
            }
            Err(Failure::Refused(Problem::NotFound)) => {
                Err(Failure::Missing { kind: key.kind, name: key.name.clone() })
            }
            Err(e) => Err(e),
        }
    }

    /// A document, or `None` when there is none.
    pub async fn find(&self, key: &DocKey) -> Result<Option<(Value, Rev)>, Failure> {
        match self.doc(key).await {
            Err(Failure::Missing { .. }) => Ok(None),
            found => found.map(Some),
        }
    }
}

fn path_of(key: &DocKey) -> String {
    format!("/admin/v1/{}/{}", plural(key.kind), key.name)
}

fn parse<T>(admin: &str, answer: &Answer) -> Result<T, Failure>
where
    T: DeserializeOwned,
{
    let wrong = |detail| Failure::Answer { admin: admin.into(), status: answer.status, detail };
    if answer.status < 300 {
        return serde_json::from_slice(&answer.body).map_err(|e| wrong(e.to_string()));
    }
    let wire: ProblemWire =
        serde_json::from_slice(&answer.body).map_err(|e| wrong(e.to_string()))?;
    Err(Failure::Refused(Problem::try_from(wire).map_err(|e| wrong(e.to_string()))?))
}
