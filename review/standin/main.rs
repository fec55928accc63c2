//! Plays the cases of the review on the project's own programs.

mod client;
mod downloads;
mod host;
mod http;
mod platform;
mod record;
mod server;
mod stops;
mod uploads;

use std::path::Path;
use std::process::exit;

/// How a play ended.
pub enum Verdict {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = args.as_slice() else {
        eprintln!("usage: foxtail-review CASE FOLDER on|off");
        exit(2);
    };
    let trouble = trouble == "on";
    let folder = Path::new(folder);
    let played = match case.as_str() {
        "downloads" => downloads::play(folder, trouble),
        "stops" => stops::play(folder, trouble),
        "uploads" => uploads::play(folder, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match played {
        Ok(Verdict::Broken) => exit(1),
        Ok(Verdict::Held) => exit(0),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            exit(2);
        }
    }
}
