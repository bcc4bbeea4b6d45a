//! Checks a parsed settings file and converts it to [`Settings`].

use std::net::SocketAddr;

use fields::{DIGEST, Faults, Fields, Item, NAME, SPAN, TEXT};

use super::{
    DeploymentKey, Drain, Keys, Limits, Listen, Log, Objects, Platform, Settings, SettingsWire,
    Table, Tls,
    forms::{ADDR, COUNT, FORMAT, IP_URL, LEVEL, PATH, URL},
    key::KEY_MATERIAL,
};

impl TryFrom<SettingsWire> for Settings {
    type Error = Faults;

    fn try_from(wire: SettingsWire) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let settings = read(wire, &mut faults);
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => {
                assert!(!faults.is_empty(), "settings rejected without a fault");
                Err(faults)
            }
        }
    }
}

fn read(wire: SettingsWire, faults: &mut Faults) -> Option<Settings> {
    let mut top = Fields::root(wire.0, faults);
    let name = top.take("name").read(&NAME, faults);
    let zone = top.take("zone").read(&NAME, faults);
    let listen = listen(top.take("listen").fields(faults), faults);
    let advertise = advertise(top.take("advertise"), listen, faults);
    let platform = platform(top.take("platform").fields(faults), faults);
    let keys = keys(top.take("keys").fields(faults), faults);
    let tls = tls(top.take("tls"), faults);
    let limits = limits(top.take("limits").fields(faults), faults);
    let drain = drain(top.take("drain").fields(faults), faults);
    let log = log(top.take("log").fields(faults), faults);
    top.end(faults);
    Some(Settings {
        name: name?,
        zone: zone?,
        listen: listen?,
        advertise: advertise?,
        platform: platform?,
        keys: keys?,
        tls,
        limits,
        drain,
        log,
    })
}

fn listen(mut fields: Fields, faults: &mut Faults) -> Option<Listen> {
    let callers = fields.take("callers").read(&ADDR, faults);
    let admin = fields.take("admin").read(&ADDR, faults);
    let peers = fields.take("peers").read(&ADDR, faults);
    fields.end(faults);
    let listen = Listen { callers: callers?, admin: admin?, peers: peers? };
    let same = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
    if same(listen.admin, listen.callers) {
        faults.add("listen.admin", "an address of its own", "that of listen.callers");
    }
    if same(listen.peers, listen.callers) || same(listen.peers, listen.admin) {
        faults.add("listen.peers", "an address of its own", "that of another listener");
    }
    Some(listen)
}

fn advertise(item: Item, listen: Option<Listen>, faults: &mut Faults) -> Option<SocketAddr> {
    let given = item.given();
    let addr = match given {
        true => item.read(&ADDR, faults)?,
        false => listen?.callers,
    };
    if addr.ip().is_unspecified() || addr.port() == 0 {
        faults.add("advertise", "the ip:port at which callers reach it", &addr.to_string());
    }
    Some(addr)
}

fn platform(mut fields: Fields, faults: &mut Faults) -> Option<Platform> {
    let mut table = fields.take("table").fields(faults);
    let table_url = table.take("url").read(&URL, faults);
    let name = table.take("name").read(&TEXT, faults);
    table.end(faults);
    let mut objects = fields.take("objects").fields(faults);
    let objects_url = objects.take("url").read(&URL, faults);
    let bucket = objects.take("bucket").read(&TEXT, faults);
    objects.end(faults);
    let list = fields.take("list").read(&IP_URL, faults);
    fields.end(faults);
    Some(Platform {
        table: Table { url: table_url?, name: name? },
        objects: Objects { url: objects_url?, bucket: bucket? },
        list: list?,
    })
}

fn keys(mut fields: Fields, faults: &mut Faults) -> Option<Keys> {
    let file = fields.take("deployment_file");
    let inline = fields.take("deployment");
    let deployment = match (file.given(), inline.given()) {
        (true, true) => {
            faults.add("keys.deployment", "nothing beside keys.deployment_file", "both");
            None
        }
        (false, true) => inline.read_secret(&KEY_MATERIAL, faults).map(DeploymentKey::Inline),
        _ => file.read(&PATH, faults).map(DeploymentKey::File),
    };
    let mut operators = fields.take("operators").list(&DIGEST, faults);
    operators.sort_unstable();
    operators.dedup();
    fields.end(faults);
    if operators.is_empty() && faults.iter().all(|f| !f.path.starts_with("keys.operators")) {
        faults.add("keys.operators", "at least one digest of an operator's key", "none");
    }
    Some(Keys { deployment: deployment?, operators })
}

fn tls(item: Item, faults: &mut Faults) -> Option<Tls> {
    if !item.given() {
        return None;
    }
    let mut fields = item.fields(faults);
    let cert_file = fields.take("cert_file").read(&PATH, faults);
    let key_file = fields.take("key_file").read(&PATH, faults);
    fields.end(faults);
    Some(Tls { cert_file: cert_file?, key_file: key_file? })
}

fn limits(mut fields: Fields, faults: &mut Faults) -> Limits {
    let base = Limits::default();
    let limits = Limits {
        body_bytes: fields.take("body_bytes").or(base.body_bytes, &COUNT, faults),
        queue: fields.take("queue").or(base.queue, &COUNT, faults),
        running: fields.take("running").or(base.running, &COUNT, faults),
        connections: fields.take("connections").or(base.connections, &COUNT, faults),
    };
    fields.end(faults);
    limits
}

fn drain(mut fields: Fields, faults: &mut Faults) -> Drain {
    let most = fields.take("most").or(Drain::default().most, &SPAN, faults);
    fields.end(faults);
    Drain { most }
}

fn log(mut fields: Fields, faults: &mut Faults) -> Log {
    let base = Log::default();
    let format = fields.take("format").or(base.format, &FORMAT, faults);
    let level = fields.take("level").or(base.level, &LEVEL, faults);
    fields.end(faults);
    Log { format, level }
}
