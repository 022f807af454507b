import { parse } from "ini";
import { Address, parseAddress } from "../../ports/index.js";
import { CliError, EXIT_USAGE } from "../cliError/index.js";

const DEFAULT_PROFILE = "default";

/** Options and environment variables that define the control hosts and the operator's name. */
export interface ProfileInput {
    /** `--control`. */
    readonly control?: string;
    /** `--operator`. */
    readonly operator?: string;
    /** `--profile`: a section of the profile file. */
    readonly profile?: string;
    /** `SEQUOIAMUX_CONTROL`. */
    readonly controlVariable?: string;
    /** `SEQUOIAMUX_OPERATOR`. */
    readonly operatorVariable?: string;
    /** Name of the operating system account, the default for the operator's name. */
    readonly userName: string;
    /** Reads the profile file; undefined when there is none. */
    readonly readProfiles: () => Promise<string | undefined>;
}

/** Control hosts to call and the operator's name. */
export interface Profile {
    /** Operator addresses of control hosts. */
    readonly control: readonly Address[];
    readonly operator: string;
}

interface ProfileSection {
    readonly control?: string;
    readonly operator?: string;
}

/**
 * Resolves the control hosts and the operator's name from the options, else the environment variables, else the section of
 * the profile file.
 *
 * @throws CliError when none of them names control hosts, or the value is invalid.
 */
export async function loadProfile(input: ProfileInput): Promise<Profile> {
    const section = await readProfileSection(input);
    const control = input.control ?? input.controlVariable ?? section.control;
    if (!control) {
        throw new CliError("where are the control hosts? Give --control ADDR[,ADDR] or SEQUOIAMUX_CONTROL", EXIT_USAGE);
    }
    const operator = input.operator ?? input.operatorVariable ?? section.operator ?? input.userName;
    return { control: control.split(",").map(readAddress), operator };
}

async function readProfileSection({ profile, readProfiles }: ProfileInput): Promise<ProfileSection> {
    const text = await readProfiles();
    const sections = parse(text ?? "") as Record<string, ProfileSection | undefined>;
    const section = sections[profile ?? DEFAULT_PROFILE];
    if (profile !== undefined && !section) {
        throw new CliError(`the profile file has no section [${profile}]`, EXIT_USAGE);
    }
    return section ?? {};
}

function readAddress(text: string): Address {
    const address = parseAddress(text.trim());
    if (!address) throw new CliError(`"${text}" is not an address; expected IP:port`, EXIT_USAGE);
    return address;
}
