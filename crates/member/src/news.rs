//! News waiting to be passed on.

use ident::Name;

use crate::{MAX_NEWS, News};

/// News with the number of messages that already carried it.
#[derive(Debug)]
struct Item {
    sent: u32,
    news: News,
}

/// The latest news about each instance, each passed on a bounded number of times.
///
/// Invariant: sorted by name, one item per instance.
#[derive(Debug, Default)]
pub(crate) struct Queue(Vec<Item>);

impl Queue {
    /// Adds news, in place of older news about the same instance.
    pub(crate) fn push(&mut self, news: News) {
        let item = Item { sent: 0, news };
        match self.0.binary_search_by(|i| i.news.name.cmp(&item.news.name)) {
            Ok(at) => self.0[at] = item,
            Err(at) => self.0.insert(at, item),
        }
    }

    /// Adds news unless some about the same instance are waiting.
    pub(crate) fn offer(&mut self, news: News) {
        if self.0.binary_search_by(|i| i.news.name.cmp(&news.name)).is_err() {
            self.push(news);
        }
    }

    /// Takes up to `MAX_NEWS` news for one message to `to`, those sent least often first. An item
    /// is dropped after `limit` messages.
    pub(crate) fn take(&mut self, to: &Name, limit: u32, first: Option<News>) -> Vec<News> {
        let mut out: Vec<_> = first.into_iter().collect();
        let mut order: Vec<_> = (0..self.0.len()).collect();
        order.sort_by_key(|&i| self.0[i].sent);
        for i in order {
            if out.len() == MAX_NEWS {
                break;
            }
            let item = &mut self.0[i];
            if item.news.name != *to {
                item.sent += 1;
                out.push(item.news.clone());
            }
        }
        self.0.retain(|i| i.sent < limit);
        assert!(out.len() <= MAX_NEWS, "news of one message are bounded");
        out
    }

    /// Drops news about `name`.
    pub(crate) fn forget(&mut self, name: &Name) {
        self.0.retain(|i| i.news.name != *name);
    }
}
