import { Random } from "../../ports/index.js";
import { EntryApi } from "../entryApi/index.js";
import { OperatorApi } from "../operatorApi/index.js";
import { Output } from "../output/index.js";

/** APIs and output available to a command. */
export interface CommandContext {
    readonly operatorApi: OperatorApi;
    readonly entryApi: EntryApi;
    readonly output: Output;
    /** Name of the operator, recorded with each change. */
    readonly operator: string;
    readonly random: Random;
    /** Reads a file given on the command line; `-` stands for the standard input. */
    readonly readFile: (path: string) => Promise<string>;
}

/** Value of an option as returned by the parser. */
export type OptionValue = string | number | boolean | readonly (string | number)[] | undefined;
/** Values of a command's options by name. */
export type CommandOptions = Readonly<Record<string, OptionValue>>;

/** One option of a command. */
export interface OptionDefinition {
    /** Name and argument, for example `--revision <number>`. */
    readonly usage: string;
    readonly description: string;
}

/** One command of the tool, with its help texts. */
export interface CommandDefinition {
    /** Name of one or two words and the arguments, for example `key grant <workspace>`. */
    readonly usage: string;
    readonly description: string;
    readonly options: readonly OptionDefinition[];
    readonly examples: readonly string[];
    readonly run: (args: readonly string[], options: CommandOptions, context: CommandContext) => Promise<void>;
}
