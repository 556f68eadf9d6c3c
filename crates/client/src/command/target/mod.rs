//! `target`: adds, changes or removes a class and its target, and writes the
//! next version of the document.

use std::path::Path;

use savorylane_intent::Document;
use savorylane_intent::document::{Class, Service};
use snafu::ResultExt;

use crate::fault::{Fault, RefusedSnafu};
use crate::file;
use crate::report::{Changes, Output};
use crate::settings::Edit;

/// Applies `edit` to the class named `class` in the document at `input`, and
/// writes the result to `out` as the version with the next number.
///
/// The changes are printed to standard error, since standard output may carry
/// the document. Nothing is written if the edit or its result is refused.
///
/// # Errors
///
/// Returns [`Fault::Edit`] if the edit cannot be applied or has no effect,
/// [`Fault::Refused`] if the document or the result is invalid, and
/// [`Fault::File`] if the document cannot be read or the result cannot be
/// written.
pub(crate) fn run(
    output: Output,
    input: &Path,
    out: &Path,
    class: &str,
    edit: &Edit,
) -> Result<(), Fault> {
    let old = file::read_document(input)?;
    let mut new = old.clone();
    apply(&mut new, class, edit)?;
    new.sort();
    if new == old {
        return Err(Fault::edit(class, "the edit leaves the document unchanged"));
    }
    new.number += 1;
    new.check().context(RefusedSnafu {
        file: "the edited document",
    })?;
    let mut bytes = serde_json::to_vec_pretty(&new).expect("a document is expressible in JSON");
    bytes.push(b'\n');
    file::write(out, &bytes)?;
    eprint!("{}", Changes::between(&old, &new).format(output));
    Ok(())
}

fn apply(document: &mut Document, name: &str, edit: &Edit) -> Result<(), Fault> {
    let position = document.classes.iter().position(|class| class.name == name);
    let require = |index: Option<usize>| {
        index.ok_or_else(|| {
            let names: Vec<&str> = document.classes.iter().map(|c| c.name.as_str()).collect();
            let names = names.join(", ");
            Fault::edit(
                name,
                format!("not found in the document; expected one of: {names}"),
            )
        })
    };
    match edit {
        Edit::Set { class, add_service } => {
            if position.is_some() {
                let reason = "already in the document; use `target change` to edit it";
                return Err(Fault::edit(name, reason));
            }
            let is_listed = document.services.iter().any(|s| s.name == class.service);
            if *add_service && !is_listed {
                document.services.push(Service::new(class.service.clone()));
            }
            document.classes.push(Class::clone(class));
        }
        Edit::Change(change) => {
            let index = require(position)?;
            change.apply(&mut document.classes[index]);
        }
        Edit::Withdraw { remove_service } => {
            let index = require(position)?;
            let service = document.classes.remove(index).service;
            if !remove_service {
                return Ok(());
            }
            if let Some(other) = document.classes.iter().find(|c| c.service == service) {
                let reason = format!(
                    "service `{service}` cannot be removed; class `{}` also uses it",
                    other.name
                );
                return Err(Fault::edit(name, reason));
            }
            document.services.retain(|s| s.name != service);
        }
    }
    Ok(())
}
