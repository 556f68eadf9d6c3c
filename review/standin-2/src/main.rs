//! Stand-ins and drivers of the cases 6 to 10.

mod cases;
mod http;
mod store;
mod target;
mod world;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (name, folder) = (arguments.next(), arguments.next());
    let (Some(name), Some(folder)) = (name, folder) else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        std::process::exit(2);
    };
    match name.as_str() {
        "slow-readers" => cases::slow_readers::run(&folder),
        "many-routes" => cases::many_routes::run(&folder),
        "pipelined-break" => cases::pipelined_break::run(&folder),
        "pipelined-stop" => cases::pipelined_stop::run(&folder),
        "unread-answers" => cases::unread_answers::run(&folder),
        "banned-page" => cases::banned_page::run(&folder),
        "second-refusal" => cases::second_refusal::run(&folder),
        _ => {
            eprintln!("no case {name}");
            std::process::exit(2);
        }
    }
}
