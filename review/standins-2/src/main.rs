//! The cases of the second review: `review-case NAME FOLDER` plays one, with stand-ins for all that the node talks to.
//! Ends with 1 where the rule was broken, 0 where it held, 2 where the case couldn't run.

mod ajp;
mod crash;
mod executor;
mod ids;
mod json;
mod leak;
mod peers;
mod proxy;
mod reload;
mod reply;
mod world;

use std::path::PathBuf;

/// The outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    Unplayed(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("review-case NAME FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match name.as_str() {
        "reply" => reply::play(&folder, has_trouble),
        "leak" => leak::play(&folder, has_trouble),
        "reload" => reload::play(&folder, has_trouble),
        "ids" => ids::play(&folder, has_trouble),
        "crash" => crash::play(&folder, has_trouble),
        _ => Verdict::Unplayed("no such case".into()),
    };
    let status = match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::Unplayed(reason) => {
            eprintln!("not played: {reason}");
            2
        }
    };
    println!("exit {status}");
    std::process::exit(status);
}

/// The settings of a small deployment: its classes, what a stopped run does, the cores of the executor, and
/// the running requests for each core that it survives.
pub fn settings(classes: &[Class], halt: executor::Halt, cores: u32, fall: u32, has_tier: bool) -> String {
    let ns = |ms: u64| ms * 1_000_000;
    let categories: Vec<String> = classes
        .iter()
        .map(|c| {
            format!(
                "{{\"name\":\"{}\",\"idempotency\":\"{}\",\"worth\":1.0,\"late-value\":0.2,\"on-time-ns\":{},\
                 \"deadline-ns\":{},\"window-ns\":{}}}",
                c.name,
                c.effect,
                ns(c.aim_ms),
                ns(c.deadline_ms),
                ns(21_744)
            )
        })
        .collect();
    let calls: Vec<&str> = classes.iter().map(|c| if c.calls { "true" } else { "false" }).collect();
    let skips: Vec<&str> = classes.iter().map(|_| "0.0").collect();
    let stop = if halt == executor::Halt::Pause { "pause" } else { "drop" };
    let below = if has_tier { "tier" } else { "silent" };
    format!(
        "{{\"categories\":[{}],\"extra\":{{\"below\":\"{below}\",\"calls-by-class\":[{}],\"class-skip-worth\":[{}],\
         \"cold\":false,\"cores\":{cores},\"memory-kb\":90000.0,\"run-mem-factor\":8.0,\"key-kb\":1.0,\
         \"fresh-ns\":0,\"signal\":\"silent\",\"stop-mode\":\"{stop}\",\"tells-gone\":true,\
         \"gauges\":[\"cpu_busy\",\"runnable\"],\"callers\":3,\"keepalive-max-ns\":30000000000}},\
         \"policy-limits\":{{\"retry-after\":true,\"max-retry-after-ns\":1000000000}},\"servers\":4,\
         \"rules\":{{\"cold-from\":0.3,\"drain-grace-ns\":500000000,\"fall-multiple\":{fall}.0,\
         \"grace-to-answer-ns\":80000000,\"tip-after-ns\":3000000000,\"warm-within-ns\":17000000000}}}}",
        categories.join(","),
        calls.join(","),
        skips.join(",")
    )
}

pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub calls: bool,
}
