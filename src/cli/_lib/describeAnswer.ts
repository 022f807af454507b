import { ChangeAnswer } from "../../control/index.js";
import { CliError } from "../cliError/index.js";

/**
 * Says what became of a change.
 *
 * @throws CliError when it was not done.
 */
export function describeAnswer(what: string, { result, effect }: ChangeAnswer): string {
    if (result.kind === "done") return `${what}: ${effect} at revision ${result.revision}`;
    if (result.kind === "refused") throw new CliError(`${what}: refused, ${result.message}`);
    const { revision, winner, winningChange } = result;
    throw new CliError(`${what}: conflict, ${winner} changed it first (revision ${revision}, change ${winningChange})`);
}
