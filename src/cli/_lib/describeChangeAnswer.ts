import { ChangeAnswer } from "../../control/index.js";
import { CliError } from "../cliError/index.js";

/**
 * Describes the outcome of a change.
 *
 * @param what - The changed item, such as `key 3f9c01ab77de`.
 * @throws CliError when the change was refused or lost a conflict.
 */
export function describeChangeAnswer(what: string, { result, effect }: ChangeAnswer): string {
    if (result.kind === "done") return `${what}: ${effect} at revision ${result.revision}`;
    if (result.kind === "refused") throw new CliError(`${what}: refused, ${result.message}`);
    const { revision, winner, winningChange } = result;
    throw new CliError(`${what}: conflict, ${winner} changed it first (revision ${revision}, change ${winningChange})`);
}
