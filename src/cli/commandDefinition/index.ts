import { Random } from "../../ports/index.js";
import { EntryApi } from "../entryApi/index.js";
import { OperatorApi } from "../operatorApi/index.js";
import { Output } from "../output/index.js";

/** What a command works with. */
export interface CommandTools {
    readonly operatorApi: OperatorApi;
    readonly entryApi: EntryApi;
    readonly output: Output;
    /** Who asks. */
    readonly operator: string;
    readonly random: Random;
    /** Reads a file that the operator names; `-` is the standard input. */
    readonly readFile: (path: string) => Promise<string>;
}

/** The values of a command's options, as the parser gives them. */
export type OptionValue = string | number | boolean | readonly (string | number)[] | undefined;
export type CommandOptions = Readonly<Record<string, OptionValue>>;

/** One option of a command. */
export interface OptionDefinition {
    /** For example `--revision <number>`. */
    readonly usage: string;
    readonly description: string;
}

/** One command of the tool. */
export interface CommandDefinition {
    /** One or two words and the arguments, for example `key grant <workspace>`. */
    readonly usage: string;
    readonly description: string;
    readonly options: readonly OptionDefinition[];
    readonly examples: readonly string[];
    readonly run: (args: readonly string[], options: CommandOptions, tools: CommandTools) => Promise<void>;
}
