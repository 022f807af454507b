import { CAC, cac } from "cac";
import { Clock, Http, Random } from "../../ports/index.js";
import { readTexts } from "../_lib/readOptions.js";
import { billingCommands } from "../billingCommands/index.js";
import { CliError, EXIT_FAILED, EXIT_USAGE } from "../cliError/index.js";
import { CommandContext, CommandDefinition, CommandOptions } from "../commandDefinition/index.js";
import { configCommands } from "../configCommands/index.js";
import { documentCommands } from "../documentCommands/index.js";
import { EntryApi } from "../entryApi/index.js";
import { fleetCommands } from "../fleetCommands/index.js";
import { keyCommands } from "../keyCommands/index.js";
import { OperatorApi } from "../operatorApi/index.js";
import { Output } from "../output/index.js";
import { loadProfile } from "../profile/index.js";
import { quarantineCommands } from "../quarantineCommands/index.js";
import { zoneCommands } from "../zoneCommands/index.js";

const COMMANDS = [
    ...configCommands,
    ...documentCommands,
    ...quarantineCommands,
    ...zoneCommands,
    ...keyCommands,
    ...fleetCommands,
    ...billingCommands,
];

/** Access of the tool to its process: network, files, output and environment. */
export interface CliEnvironment {
    readonly http: Http;
    readonly clock: Clock;
    readonly random: Random;
    readonly variables: Readonly<Record<string, string | undefined>>;
    /** Name of the operating system account. */
    readonly userName: string;
    readonly readFile: (path: string) => Promise<string>;
    /** Reads the profile file; undefined when there is none. */
    readonly readProfiles: () => Promise<string | undefined>;
    readonly writeOutput: (text: string) => void;
    readonly writeError: (text: string) => void;
}

/**
 * Runs one command line.
 *
 * @param argv - Arguments after the program's name.
 * @returns The process's exit code: 0, 1 for a command that failed, 2 for a wrong command line.
 * @example
 * process.exitCode = await runCli(process.argv.slice(2), environment);
 */
export async function runCli(argv: readonly string[], environment: CliEnvironment): Promise<number> {
    try {
        await runCommand(argv, environment);
        return 0;
    }
    catch (err) {
        environment.writeError(`sequoiamux: ${(err as Error).message.split("\n")[0]}\n`);
        if (err instanceof CliError) return err.exitCode;
        return (err as Error).name === "CACError" ? EXIT_USAGE : EXIT_FAILED;
    }
}

async function runCommand(argv: readonly string[], environment: CliEnvironment): Promise<void> {
    const cli = createParser(environment);
    cli.parse(["node", "sequoiamux", ...joinCommandName(argv)], { run: false });
    if (cli.options.help) return;
    if (!cli.matchedCommand) {
        if (argv.length === 0) return cli.outputHelp();
        throw new CliError(`there is no command "${argv.slice(0, 2).join(" ")}"; see --help`, EXIT_USAGE);
    }
    await cli.runMatchedCommand();
}

function createParser(environment: CliEnvironment): CAC {
    const cli = cac("sequoiamux");
    cli.option("--control <addresses>", "Control hosts, IP:port[,IP:port] (or SEQUOIAMUX_CONTROL, or a profile)");
    cli.option("--profile <name>", "Section of the profile file ~/.sequoiamux.ini (or SEQUOIAMUX_PROFILES)");
    cli.option("--operator <name>", "Who you are, for others whose edit loses (or SEQUOIAMUX_OPERATOR)");
    cli.option("--json", "Print JSON");
    for (const definition of COMMANDS) addCommand(cli, definition, environment);
    cli.help();
    return cli;
}

function addCommand(cli: CAC, definition: CommandDefinition, environment: CliEnvironment): void {
    const command = cli.command(definition.usage, definition.description);
    for (const { usage, description } of definition.options) command.option(usage, description);
    for (const example of definition.examples) command.example(`  ${example}`);
    command.action(async (...actionArgs: unknown[]) => {
        const options = actionArgs.at(-1) as CommandOptions;
        const args = actionArgs.slice(0, -1).map(String);
        await definition.run(args, options, await createContext(options, environment));
    });
}

async function createContext(options: CommandOptions, environment: CliEnvironment): Promise<CommandContext> {
    const { http, clock, random, variables, userName, readFile, readProfiles, writeOutput } = environment;
    const profile = await loadProfile({
        control: readTexts(options.control)[0],
        operator: readTexts(options.operator)[0],
        profile: readTexts(options.profile)[0],
        controlVariable: variables.SEQUOIAMUX_CONTROL,
        operatorVariable: variables.SEQUOIAMUX_OPERATOR,
        userName,
        readProfiles,
    });
    const operatorApi = new OperatorApi({ http, clock, controlAddresses: profile.control });
    return {
        operatorApi,
        entryApi: new EntryApi(operatorApi, http),
        output: new Output(writeOutput, options.json === true),
        operator: profile.operator,
        random,
        readFile,
    };
}

/**
 * Joins the two words of a command's name into one argument, also behind options, since the parser matches a command by a
 * single argument.
 */
function joinCommandName(argv: readonly string[]): readonly string[] {
    const at = argv.findIndex((word, index) => isTwoWordCommand(`${word} ${argv[index + 1]}`));
    if (at < 0) return argv;
    return [...argv.slice(0, at), `${argv[at]} ${argv[at + 1]}`, ...argv.slice(at + 2)];
}

function isTwoWordCommand(pair: string): boolean {
    return COMMANDS.some(({ usage }) => usage === pair || usage.startsWith(`${pair} `));
}
