import { CliError, EXIT_USAGE } from "../cliError/index.js";
import { OptionValue } from "../commandDefinition/index.js";

/** Allows a script to resend a change under the same ID. */
export const CHANGE_ID_OPTION = {
    usage: "--change-id <id>",
    description: "The change's id, to send it again after a lost answer; made up when missing",
};

/** Returns the values of an option that may be repeated, as texts. */
export function readTexts(value: OptionValue): readonly string[] {
    if (value === undefined) return [];
    return Array.isArray(value) ? value.map(String) : [String(value)];
}

/**
 * Parses an option as a whole number of at least 0; returns undefined when the option is missing.
 *
 * @param name - Name of the option for error messages.
 */
export function readWholeNumber(value: OptionValue, name: string): number | undefined {
    if (value === undefined) return undefined;
    const number = Number(value);
    if (Number.isInteger(number) && number >= 0) return number;
    throw new CliError(`${name} needs a whole number of at least 0, not "${value}"`, EXIT_USAGE);
}

/** Parses a required option as a whole number of at least 0. */
export function readRequiredWholeNumber(value: OptionValue, name: string): number {
    const number = readWholeNumber(value, name);
    if (number === undefined) throw new CliError(`${name} is missing`, EXIT_USAGE);
    return number;
}
