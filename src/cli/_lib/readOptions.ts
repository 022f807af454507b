import { CliError, EXIT_USAGE } from "../cliError/index.js";
import { OptionValue } from "../commandDefinition/index.js";

/** Lets a script send a change again under the same id. */
export const CHANGE_ID_OPTION = {
    usage: "--change-id <id>",
    description: "The change's id, to send it again after a lost answer; made up when missing",
};

/** An option that may be given several times, as texts. */
export function readTexts(value: OptionValue): readonly string[] {
    if (value === undefined) return [];
    return Array.isArray(value) ? value.map(String) : [String(value)];
}

/** A whole number of at least 0; undefined when the option is missing. */
export function readWholeNumber(value: OptionValue, name: string): number | undefined {
    if (value === undefined) return undefined;
    const number = Number(value);
    if (Number.isInteger(number) && number >= 0) return number;
    throw new CliError(`${name} needs a whole number of at least 0, not "${value}"`, EXIT_USAGE);
}

/** A whole number of at least 0 that must be given. */
export function readNumber(value: OptionValue, name: string): number {
    const number = readWholeNumber(value, name);
    if (number === undefined) throw new CliError(`${name} is missing`, EXIT_USAGE);
    return number;
}
