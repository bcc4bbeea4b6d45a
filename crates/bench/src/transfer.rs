//! Imports and exports over the fake links.

use ident::{Name, Time, rendezvous_order};

use crate::{
    decide::{Run, piece_bytes},
    event::Event,
    figures::Figures,
    spec::{PIECE_TOKENS, Spec},
    trace::Request,
};

/// Length of the spans in which the peak use of a link is looked for, in milliseconds.
const SPAN_MS: u64 = 10_000;

/// What a transfer is for.
#[derive(Debug, Clone, Copy)]
enum Use {
    Import,
    /// The context's leading tokens to be kept.
    Export(u32),
}

#[derive(Debug)]
struct Transfer {
    job: usize,
    store: usize,
    bytes: u64,
    usage: Use,
    /// The plan it was booked under, where the policy keeps to the budget.
    booked: Option<route::Transfer>,
}

/// Transfers of a run, by id.
#[derive(Debug)]
pub(crate) struct Transfers {
    all: Vec<Transfer>,
    /// Bytes begun, by store and span.
    begun: Vec<Vec<u64>>,
}

impl Transfers {
    pub(crate) fn new(spec: &Spec) -> Self {
        let spans = (spec.length * 2 / SPAN_MS) as usize + 1;
        Self { all: Vec::new(), begun: vec![vec![0; spans]; spec.stores.len()] }
    }

    /// Fills in the use of the links over the measured part.
    pub(crate) fn fill(&self, figures: &mut Figures, spec: &Spec) {
        let (from, to) = ((spec.warmup / SPAN_MS) as usize, (spec.length / SPAN_MS) as usize);
        let limit = spec.link as f64 * SPAN_MS as f64 / 1000.0;
        let spans = || self.begun.iter().flat_map(|b| &b[from..to]);
        let total: u64 = spans().sum();
        figures.link_bytes = total;
        figures.link_use = total as f64 / limit / spans().count() as f64;
        figures.link_peak = spans().map(|b| *b as f64 / limit).fold(0.0, f64::max);
    }
}

impl Run {
    /// The store that keeps a context, and the leading pieces it has.
    pub(crate) fn kept(&self, request: &Request) -> Option<(usize, u32)> {
        if !self.options.policy.keeps() {
            return None;
        }
        let store = self.store(request);
        let pieces = Spec::pieces(self.stores[store].tokens(request.context));
        (pieces > 0).then_some((store, pieces))
    }

    fn store(&self, request: &Request) -> usize {
        let org = self.spec.teams[request.team].org;
        let own = |s: &usize| self.spec.stores[*s].is_none_or(|o| o == org);
        let own = (0..self.stores.len()).filter(own).map(|s| (s, &self.names.stores[s]));
        let own: Vec<_> = own.collect();
        rendezvous_order(&request.context.to_le_bytes(), &own, |s| s.1.as_str())[0].0
    }

    /// Plans the import of a job's cache.
    pub(crate) fn import(&mut self, job: usize, store: &Name, bytes: u64, now: Time) {
        let request = self.request(job);
        let mut start = now;
        let mut booked = None;
        if self.options.policy.budgets() {
            let links = &mut self.instances[self.flights[job].home.instance].links;
            booked = links.reserve_import(store, bytes, request.class, now);
            start = booked.as_ref().map_or(now, |t| t.start);
        }
        let store = self.names.stores.binary_search(store).expect("choices name known stores");
        self.add(Transfer { job, store, bytes, usage: Use::Import, booked }, start);
    }

    /// Keeps the cache of a computed prompt, where its store lacks some.
    pub(crate) fn export(&mut self, job: usize, request: &Request, now: Time) {
        if !self.options.policy.keeps() {
            return;
        }
        let store = self.store(request);
        let kept = self.stores[store].tokens(request.context);
        let want = Spec::pieces(request.shared) * PIECE_TOKENS;
        if kept >= want {
            return;
        }
        let bytes = piece_bytes(want) - piece_bytes(kept);
        let mut booked = None;
        if self.options.policy.budgets() {
            let links = &mut self.instances[self.flights[job].home.instance].links;
            booked = links.reserve_export(&self.names.stores[store], bytes, now);
            if booked.is_none() {
                return;
            }
        }
        self.add(Transfer { job, store, bytes, usage: Use::Export(want), booked }, now);
    }

    fn add(&mut self, transfer: Transfer, start: Time) {
        let id = self.transfers.all.len() as u64;
        self.transfers.all.push(transfer);
        self.events.add(start, Event::Begin(id));
    }

    /// A transfer begins.
    pub(crate) fn begin(&mut self, id: u64, now: Time) {
        let transfer = &self.transfers.all[id as usize];
        let (store, bytes) = (transfer.store, transfer.bytes);
        let span = (now.0 / SPAN_MS) as usize;
        if let Some(begun) = self.transfers.begun[store].get_mut(span) {
            *begun += bytes;
        }
        self.links[store].begin(id, bytes, now);
        self.wake(store);
    }

    /// Asks to be woken when the next transfer on a link is done.
    pub(crate) fn wake(&mut self, store: usize) {
        let link = &self.links[store];
        if let Some(at) = link.next() {
            self.events.add(at, Event::Moved(store, link.version));
        }
    }

    /// Some transfers on a link may be done.
    pub(crate) fn moved(&mut self, store: usize, version: u64, now: Time) {
        if self.links[store].version != version {
            return;
        }
        for id in self.links[store].done(now) {
            self.arrived(id, now);
        }
        self.wake(store);
    }

    fn arrived(&mut self, id: u64, now: Time) {
        let transfer = &mut self.transfers.all[id as usize];
        let (job, store, usage) = (transfer.job, transfer.store, transfer.usage);
        if let Some(booked) = transfer.booked.take() {
            let bytes = transfer.bytes;
            self.instances[self.flights[job].home.instance].links.settle(booked, bytes, now);
        }
        let context = self.request(job).context;
        match usage {
            Use::Import => {
                self.stores[store].touch(context);
                self.submit(job, now);
            }
            Use::Export(tokens) => {
                self.stores[store].put(context, tokens);
            }
        }
    }
}
