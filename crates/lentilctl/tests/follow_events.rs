//! `lentilctl events --follow` shows every event once, also over a restart of an instance.

mod common;

use std::{
    fs,
    io::{BufRead, BufReader, Lines},
    process::{Child, ChildStdout, Command, Stdio},
};

use admin::Memory;
use common::{Instance, KEY, name};
use events::EventKind;
use ident::Time;

struct Follow {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
    _dir: tempfile::TempDir,
}

impl Follow {
    fn new(url: &str) -> Self {
        let dir = tempfile::tempdir().unwrap();
        fs::write(dir.path().join("key"), KEY).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_lentilctl"))
            .args(["events", "--follow", "--admin", url, "--key-file", "key"])
            .current_dir(dir.path())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        Self { child, lines, _dir: dir }
    }

    fn expect(&mut self, wanted: &[&str]) {
        for line in wanted {
            assert_eq!(self.lines.next().unwrap().unwrap(), *line);
        }
    }
}

impl Drop for Follow {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

fn record(memory: &Memory, at: &[u64]) {
    for at in at {
        memory.log.record(Time(*at), EventKind::Ready);
    }
}

/// The instance is replaced by one with fewer, as many and more events than were read.
#[test]
fn restarts_lose_nothing() {
    for second in [&[7000][..], &[7000, 8000], &[7000, 8000, 9000]] {
        let first = Memory::new(name("inkline-1"), name("regina"), KEY);
        let next = first.join(name("inkline-1"), name("regina"));
        record(&first, &[1000, 2000]);
        let mut instance = Instance::serve(first, 0);
        let mut follow = Follow::new(&instance.url);
        follow.expect(&[
            "1970-01-01T00:00:01.000Z inkline-1 1 ready",
            "1970-01-01T00:00:02.000Z inkline-1 2 ready",
        ]);
        record(&instance.memory, &[3000]);
        follow.expect(&["1970-01-01T00:00:03.000Z inkline-1 3 ready"]);

        instance.stop();
        record(&next, second);
        let port = instance.url.rsplit(':').next().unwrap().parse().unwrap();
        let instance = Instance::serve(next, port);
        let lines: Vec<_> = second
            .iter()
            .zip(1..)
            .map(|(at, i)| format!("1970-01-01T00:00:0{}.000Z inkline-1 {i} ready", at / 1000))
            .collect();
        record(&instance.memory, &[9500]);
        follow.expect(&lines.iter().map(String::as_str).collect::<Vec<_>>());
        follow.expect(&[&format!("1970-01-01T00:00:09.500Z inkline-1 {} ready", second.len() + 1)]);
    }
}
