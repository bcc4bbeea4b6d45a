//! The cases of the second review that a day can't show. `rig-2 CASE FOLDER` writes FOLDER/record.txt
//! and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod deployment;
mod full_listener;
mod standins;

/// The platform's names.
mod wire {
    include!("wire.in");
}

use deployment::Record;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("rig-2 CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Record::new(folder);
    record.note(&format!("case {case}, trouble {trouble}"));
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let outcome = match case.as_str() {
        "full-listener" => full_listener::run(&record, &temporary, trouble),
        _ => Outcome::CouldNotRun("no such case".into()),
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (code, text) = match outcome {
        Outcome::Held => (0, "held".to_owned()),
        Outcome::Broken(why) => (1, format!("broken: {why}")),
        Outcome::CouldNotRun(why) => (2, format!("could not run: {why}")),
    };
    record.note(&text);
    println!("{case}: {text}");
    std::process::exit(code);
}
